/**
 * Bench of reading, checking and looking up a manifest of the design size.
 */
@NullMarked
package org.wigeonmast.bench.manifest;

import org.jspecify.annotations.NullMarked;
