/**
 * Tests of the assembled system.
 */
@NullMarked
package org.wigeonmast.verification;

import org.jspecify.annotations.NullMarked;
