/**
 * A minimal Log4j API provider for daemons that need a short start-up time.
 */
@NullMarked
package org.wigeonmast.daemon.log;

import org.jspecify.annotations.NullMarked;
