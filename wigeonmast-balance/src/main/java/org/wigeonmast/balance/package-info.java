/**
 * Balancing for fleets without owners: each daemon selects backend servers itself, by its
 * own observations and those that its peers report.
 */
@NullMarked
package org.wigeonmast.balance;

import org.jspecify.annotations.NullMarked;
