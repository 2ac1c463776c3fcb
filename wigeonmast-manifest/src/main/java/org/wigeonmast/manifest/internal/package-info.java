/**
 * JSON parsing, validation and lookup tables of a manifest.
 */
@NullMarked
package org.wigeonmast.manifest.internal;

import org.jspecify.annotations.NullMarked;
