/**
 * Keys, value types and message texts of the settings.
 */
@NullMarked
package org.wigeonmast.settings.internal;

import org.jspecify.annotations.NullMarked;
