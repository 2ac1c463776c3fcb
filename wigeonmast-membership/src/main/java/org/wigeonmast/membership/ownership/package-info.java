/**
 * Assignment of services to owner daemons by rendezvous hashing.
 */
@NullMarked
package org.wigeonmast.membership.ownership;

import org.jspecify.annotations.NullMarked;
