/**
 * Command-line tool for operators, the binary {@code wigeonmast}.
 */
@NullMarked
package org.wigeonmast.cli;

import org.jspecify.annotations.NullMarked;
