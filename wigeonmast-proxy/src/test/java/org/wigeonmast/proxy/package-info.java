/**
 * Tests of the proxy over loopback sockets.
 */
@NullMarked
package org.wigeonmast.proxy;

import org.jspecify.annotations.NullMarked;
