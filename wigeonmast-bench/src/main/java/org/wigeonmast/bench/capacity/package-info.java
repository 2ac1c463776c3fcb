/**
 * Bench of the sizes from which the capacity page is worked out.
 */
@NullMarked
package org.wigeonmast.bench.capacity;

import org.jspecify.annotations.NullMarked;
