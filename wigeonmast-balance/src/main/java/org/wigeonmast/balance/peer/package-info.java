/**
 * Exchange between daemons: live daemons, observations of backend servers and load.
 */
@NullMarked
package org.wigeonmast.balance.peer;

import org.jspecify.annotations.NullMarked;
