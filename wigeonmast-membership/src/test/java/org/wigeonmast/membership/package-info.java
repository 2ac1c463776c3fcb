/**
 * Tests of fleet membership.
 */
@NullMarked
package org.wigeonmast.membership;

import org.jspecify.annotations.NullMarked;
