/**
 * Virtual time, fakes and a request oracle for tests and benchmarks.
 */
@NullMarked
package org.wigeonmast.testing;

import org.jspecify.annotations.NullMarked;
