/**
 * What daemons tell each other: who is live, and what they saw of backend servers.
 */
@NullMarked
package org.wigeonmast.balance.peer;

import org.jspecify.annotations.NullMarked;
