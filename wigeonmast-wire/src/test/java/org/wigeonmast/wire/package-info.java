/**
 * Tests of the links between daemons.
 */
@NullMarked
package org.wigeonmast.wire;

import org.jspecify.annotations.NullMarked;
