/**
 * Parts of the coordinator that nothing outside this module uses.
 */
@NullMarked
package org.wigeonmast.balance.internal;

import org.jspecify.annotations.NullMarked;
