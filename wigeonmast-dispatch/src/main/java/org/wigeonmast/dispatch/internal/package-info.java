/**
 * Internal state of the dispatch components.
 */
@NullMarked
package org.wigeonmast.dispatch.internal;

import org.jspecify.annotations.NullMarked;
