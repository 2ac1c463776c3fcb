/**
 * Bench of the request path: latency, processor time and memory that the proxy adds.
 */
@NullMarked
package org.wigeonmast.bench.path;

import org.jspecify.annotations.NullMarked;
