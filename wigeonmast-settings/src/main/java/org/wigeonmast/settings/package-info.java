/**
 * INI settings of a daemon, checked as a whole.
 */
@NullMarked
package org.wigeonmast.settings;

import org.jspecify.annotations.NullMarked;
