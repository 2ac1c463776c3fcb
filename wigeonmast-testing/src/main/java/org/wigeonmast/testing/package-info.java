/**
 * Virtual time and hand-written fakes for tests and benches.
 */
@NullMarked
package org.wigeonmast.testing;

import org.jspecify.annotations.NullMarked;
