/**
 * Bench of detection time and wrong ejections.
 */
@NullMarked
package org.wigeonmast.bench.detection;

import org.jspecify.annotations.NullMarked;
