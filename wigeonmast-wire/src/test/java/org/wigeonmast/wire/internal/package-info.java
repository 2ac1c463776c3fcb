/**
 * Tests of the implementation of links.
 */
@NullMarked
package org.wigeonmast.wire.internal;

import org.jspecify.annotations.NullMarked;
