/**
 * A small backend of Log4j's API for daemons whose start-up time counts.
 */
@NullMarked
package org.wigeonmast.daemon.log;

import org.jspecify.annotations.NullMarked;
