/**
 * Balancing for fleets without owners: each daemon chooses backend servers itself, by
 * what it saw and what its peers tell.
 */
@NullMarked
package org.wigeonmast.balance;

import org.jspecify.annotations.NullMarked;
