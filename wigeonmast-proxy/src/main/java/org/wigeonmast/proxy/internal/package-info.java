/**
 * Connections, exchanges, attempts and the backend pool of the proxy; all confined to the
 * traffic thread.
 */
@NullMarked
package org.wigeonmast.proxy.internal;

import org.jspecify.annotations.NullMarked;
