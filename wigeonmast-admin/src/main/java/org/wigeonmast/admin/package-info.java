/**
 * Interface for operators.
 */
@NullMarked
package org.wigeonmast.admin;

import org.jspecify.annotations.NullMarked;
