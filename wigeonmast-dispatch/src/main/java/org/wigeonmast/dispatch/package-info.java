/**
 * Dispatch of requests to backend servers: slots, queues, retries and idempotency keys.
 * <p>
 * The <em>entry daemon</em> of a request is the daemon that accepted it from the caller.
 * The <em>owner</em> of a service in a region is the daemon that allocates the slots of
 * the service's backend servers there and registers its idempotency keys.
 */
@NullMarked
package org.wigeonmast.dispatch;

import org.jspecify.annotations.NullMarked;
