/**
 * Comparison of dispatch policies in virtual time.
 */
@NullMarked
package org.wigeonmast.bench.policy;

import org.jspecify.annotations.NullMarked;
