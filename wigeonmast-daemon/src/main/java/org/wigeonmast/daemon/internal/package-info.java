/**
 * Assembly of the components of a daemon. Components are state machines without I/O; each
 * shell drives some of them and executes their effects.
 */
@NullMarked
package org.wigeonmast.daemon.internal;

import org.jspecify.annotations.NullMarked;
