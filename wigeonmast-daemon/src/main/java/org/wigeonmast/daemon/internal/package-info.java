/**
 * Assembly of the components and shells of a daemon.
 */
@NullMarked
package org.wigeonmast.daemon.internal;

import org.jspecify.annotations.NullMarked;
