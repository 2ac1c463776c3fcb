/**
 * Command line for operators; the binary wigeonmast.
 */
@NullMarked
package org.wigeonmast.cli;

import org.jspecify.annotations.NullMarked;
