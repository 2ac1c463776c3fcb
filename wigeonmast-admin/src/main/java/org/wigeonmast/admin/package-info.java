/**
 * HTTP admin interface of a daemon: readiness, status, explanations, audit entries and
 * metrics.
 */
@NullMarked
package org.wigeonmast.admin;

import org.jspecify.annotations.NullMarked;
