/**
 * Implementation of outlier detection, the health states of backend servers, and ejection
 * permits.
 */
@NullMarked
package org.wigeonmast.health.internal;

import org.jspecify.annotations.NullMarked;
