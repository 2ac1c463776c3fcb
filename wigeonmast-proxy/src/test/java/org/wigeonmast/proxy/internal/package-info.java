/**
 * Tests of single parts of the proxy.
 */
@NullMarked
package org.wigeonmast.proxy.internal;

import org.jspecify.annotations.NullMarked;
