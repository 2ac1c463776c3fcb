/**
 * Health of backend servers: outlier detection, ejection under permits and the floor of
 * servers that stay in service.
 */
@NullMarked
package org.wigeonmast.health;

import org.jspecify.annotations.NullMarked;
