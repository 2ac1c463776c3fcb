/**
 * Reading and validation of a daemon's INI settings file.
 */
@NullMarked
package org.wigeonmast.settings;

import org.jspecify.annotations.NullMarked;
