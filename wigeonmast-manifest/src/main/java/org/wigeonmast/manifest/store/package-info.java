/**
 * Client for the platform's configuration store and host list.
 */
@NullMarked
package org.wigeonmast.manifest.store;

import org.jspecify.annotations.NullMarked;
