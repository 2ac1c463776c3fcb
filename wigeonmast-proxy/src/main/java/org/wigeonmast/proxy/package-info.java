/**
 * HTTP/1.1 towards callers and backend servers.
 */
@NullMarked
package org.wigeonmast.proxy;

import org.jspecify.annotations.NullMarked;
