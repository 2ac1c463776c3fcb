/**
 * Comparison of two ways to hold limits over the fleet.
 */
@NullMarked
package org.wigeonmast.bench.limit;

import org.jspecify.annotations.NullMarked;
