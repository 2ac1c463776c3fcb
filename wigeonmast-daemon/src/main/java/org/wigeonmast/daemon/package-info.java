/**
 * The daemon of a fleet with owners and its entry point {@code wigeonmastd}.
 */
@NullMarked
package org.wigeonmast.daemon;

import org.jspecify.annotations.NullMarked;
