/**
 * Manifest model, checks, route index, store client and spread between daemons.
 */
@NullMarked
package org.wigeonmast.manifest;

import org.jspecify.annotations.NullMarked;
