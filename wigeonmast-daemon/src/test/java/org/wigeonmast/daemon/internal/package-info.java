/**
 * Tests for the assembly of a daemon.
 */
@NullMarked
package org.wigeonmast.daemon.internal;

import org.jspecify.annotations.NullMarked;
