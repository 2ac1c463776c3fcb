/**
 * Detection of outliers and the states of ejection.
 */
@NullMarked
package org.wigeonmast.health.internal;

import org.jspecify.annotations.NullMarked;
