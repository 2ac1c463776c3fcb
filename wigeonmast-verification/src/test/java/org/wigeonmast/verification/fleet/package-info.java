/**
 * Fuzzing and fault matrix of several daemons in virtual time.
 */
@NullMarked
package org.wigeonmast.verification.fleet;

import org.jspecify.annotations.NullMarked;
