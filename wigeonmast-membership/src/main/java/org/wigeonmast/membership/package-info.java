/**
 * Members of the fleet and ownership by rendezvous hashing.
 */
@NullMarked
package org.wigeonmast.membership;

import org.jspecify.annotations.NullMarked;
