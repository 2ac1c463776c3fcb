/**
 * Fetching, acceptance and distribution of manifest versions.
 */
@NullMarked
package org.wigeonmast.manifest.follow;

import org.jspecify.annotations.NullMarked;
