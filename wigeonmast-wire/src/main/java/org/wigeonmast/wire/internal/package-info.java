/**
 * Implementation of the links between daemons.
 */
@NullMarked
package org.wigeonmast.wire.internal;

import org.jspecify.annotations.NullMarked;
