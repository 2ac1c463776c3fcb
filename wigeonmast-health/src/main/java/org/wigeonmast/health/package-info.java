/**
 * Evidence, outlier detection, ejection, permits and the floor.
 */
@NullMarked
package org.wigeonmast.health;

import org.jspecify.annotations.NullMarked;
