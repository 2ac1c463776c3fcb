/**
 * The daemon of a fleet without owners, which follows published state and chooses backend
 * servers itself.
 */
@NullMarked
package org.wigeonmast.daemon.balanced;

import org.jspecify.annotations.NullMarked;
