/**
 * Bench of membership, ownership and the manifest over a whole fleet in virtual time.
 */
@NullMarked
package org.wigeonmast.bench.fleet;

import org.jspecify.annotations.NullMarked;
