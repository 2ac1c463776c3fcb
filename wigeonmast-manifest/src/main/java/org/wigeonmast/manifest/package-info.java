/**
 * Manifest model and validation.
 */
@NullMarked
package org.wigeonmast.manifest;

import org.jspecify.annotations.NullMarked;
