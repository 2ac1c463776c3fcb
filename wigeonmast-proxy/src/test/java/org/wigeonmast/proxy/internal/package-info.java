/**
 * Unit tests of the proxy's internals.
 */
@NullMarked
package org.wigeonmast.proxy.internal;

import org.jspecify.annotations.NullMarked;
