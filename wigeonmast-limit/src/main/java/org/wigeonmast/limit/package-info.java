/**
 * Fleet-wide rate limits for callers and services.
 */
@NullMarked
package org.wigeonmast.limit;

import org.jspecify.annotations.NullMarked;
