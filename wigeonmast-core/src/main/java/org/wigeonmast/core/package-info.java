/**
 * Clock, identifiers, outcomes, errors, events and the component contract.
 */
@NullMarked
package org.wigeonmast.core;

import org.jspecify.annotations.NullMarked;
