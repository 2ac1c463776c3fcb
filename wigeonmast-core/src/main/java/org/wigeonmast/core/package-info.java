/**
 * Types that all modules share: clock, identifiers, request outcomes, errors, log events
 * and the {@link org.wigeonmast.core.Component} contract.
 */
@NullMarked
package org.wigeonmast.core;

import org.jspecify.annotations.NullMarked;
