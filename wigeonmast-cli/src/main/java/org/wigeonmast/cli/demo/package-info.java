/**
 * Demo of a fleet in one process with a scripted gray failure, and checks of its
 * guarantees.
 */
@NullMarked
package org.wigeonmast.cli.demo;

import org.jspecify.annotations.NullMarked;
