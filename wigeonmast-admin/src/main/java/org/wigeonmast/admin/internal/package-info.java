/**
 * Request handlers and response formats of the admin interface.
 */
@NullMarked
package org.wigeonmast.admin.internal;

import org.jspecify.annotations.NullMarked;
