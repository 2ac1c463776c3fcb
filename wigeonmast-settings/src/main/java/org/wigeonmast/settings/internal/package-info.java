/**
 * Keys, value types and error messages of the settings.
 */
@NullMarked
package org.wigeonmast.settings.internal;

import org.jspecify.annotations.NullMarked;
