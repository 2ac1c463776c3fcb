package org.wigeonmast.manifest;

import org.wigeonmast.core.CallerId;

/**
 * The rate limit of one caller across the fleet.
 * <p>
 * Thread safety: immutable.
 *
 * @param caller the caller
 * @param requestsPerSecond the maximum request rate
 */
public record CallerLimit(CallerId caller, long requestsPerSecond) {
}
