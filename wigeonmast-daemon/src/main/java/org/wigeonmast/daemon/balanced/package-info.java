/**
 * The daemon of a fleet without owners, which follows the published state and selects
 * backend servers itself.
 */
@NullMarked
package org.wigeonmast.daemon.balanced;

import org.jspecify.annotations.NullMarked;
