package org.wigeonmast.manifest;

import org.wigeonmast.core.CallerId;

/**
 * The limit of one caller over the fleet.
 * <p>
 * Thread safety: immutable.
 *
 * @param caller the caller
 * @param requestsPerSecond the greatest rate of requests
 */
public record CallerLimit(CallerId caller, long requestsPerSecond) {
}
