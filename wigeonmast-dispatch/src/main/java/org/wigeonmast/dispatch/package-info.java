/**
 * Slots, queues, requests, retries and request identifiers.
 */
@NullMarked
package org.wigeonmast.dispatch;

import org.jspecify.annotations.NullMarked;
