/**
 * Stand-ins on the loopback address for the platform and for backend servers, used by the
 * demo and by tests.
 */
@NullMarked
package org.wigeonmast.cli.standin;

import org.jspecify.annotations.NullMarked;
