/**
 * Ownership of services by rendezvous hashing.
 */
@NullMarked
package org.wigeonmast.membership.ownership;

import org.jspecify.annotations.NullMarked;
