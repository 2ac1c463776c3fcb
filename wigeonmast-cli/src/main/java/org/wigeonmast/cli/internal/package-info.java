/**
 * Access to daemons and text layout of the commands.
 */
@NullMarked
package org.wigeonmast.cli.internal;

import org.jspecify.annotations.NullMarked;
