/**
 * Follows the published state: configuration and backend servers.
 */
@NullMarked
package org.wigeonmast.balance.follow;

import org.jspecify.annotations.NullMarked;
