/**
 * Handlers and text formats of the operators' interface.
 */
@NullMarked
package org.wigeonmast.admin.internal;

import org.jspecify.annotations.NullMarked;
