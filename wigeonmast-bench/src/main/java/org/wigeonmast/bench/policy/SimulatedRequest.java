package org.wigeonmast.bench.policy;

import org.wigeonmast.core.RequestId;
import org.wigeonmast.manifest.WorkClass;

/**
 * A request of the workload.
 * <p>
 * Thread safety: immutable. Times are in microseconds.
 *
 * @param id the identifier
 * @param arrival the time at which it reaches its entry daemon
 * @param daemon the number of the entry daemon
 * @param caller the number of the caller
 * @param workClass the class of work
 * @param duration the time of service at a healthy server
 * @param idempotent whether it may run more than once
 */
record SimulatedRequest(RequestId id, long arrival, int daemon, int caller, WorkClass workClass, long duration,
		boolean idempotent) {
}
