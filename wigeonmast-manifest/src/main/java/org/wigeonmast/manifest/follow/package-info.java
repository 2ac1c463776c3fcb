/**
 * Reading of manifest versions from the store, their distribution between daemons and
 * their acceptance.
 */
@NullMarked
package org.wigeonmast.manifest.follow;

import org.jspecify.annotations.NullMarked;
