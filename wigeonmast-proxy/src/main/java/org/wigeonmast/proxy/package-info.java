/**
 * HTTP/1.1 reverse proxy between callers and backend servers.
 */
@NullMarked
package org.wigeonmast.proxy;

import org.jspecify.annotations.NullMarked;
