/**
 * Limits by caller and by service over the fleet.
 */
@NullMarked
package org.wigeonmast.limit;

import org.jspecify.annotations.NullMarked;
