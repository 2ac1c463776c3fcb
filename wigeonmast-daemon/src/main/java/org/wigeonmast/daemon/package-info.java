/**
 * Assembly of a daemon; the binary wigeonmastd.
 */
@NullMarked
package org.wigeonmast.daemon;

import org.jspecify.annotations.NullMarked;
