package org.wigeonmast.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;

/**
 * Test oracle for the guarantees about requests. It compares the outcomes that callers
 * received with the requests that backend servers ran.
 * <p>
 * Thread safety: none. A run may be recorded after the outcome of a request, because a
 * broken connection does not stop a server.
 */
public final class RequestGuaranteeChecker {

	private final Map<RequestId, Entry> trackedRequests = new LinkedHashMap<>();

	private final List<String> violations = new ArrayList<>();

	private long endedCount;

	/**
	 * Records that a request was accepted.
	 * @param request the request
	 * @param idempotent whether it may run more than once
	 */
	public void recordAccepted(RequestId request, boolean idempotent) {
		this.trackedRequests.put(request, new Entry(idempotent));
	}

	/**
	 * Records that a backend server started to run a request.
	 * @param request the request
	 */
	public void recordRun(RequestId request) {
		Entry entry = this.trackedRequests.get(request);
		if (entry == null) {
			this.violations.add(request + " ran without having been accepted, or after it was discarded");
			return;
		}
		entry.runs++;
		if (entry.runs > 1 && !entry.idempotent) {
			this.violations.add(request + " ran " + entry.runs + " times but is not idempotent");
		}
		if (entry.outcome instanceof RequestOutcome.NotRun) {
			this.violations.add(request + " ran after it was refused as not run");
		}
	}

	/**
	 * Records the outcome of a request for its caller.
	 * @param request the request
	 * @param outcome the outcome
	 */
	public void recordEnded(RequestId request, RequestOutcome outcome) {
		Entry entry = this.trackedRequests.get(request);
		if (entry == null || entry.outcome != null) {
			this.violations.add(request + " ended twice, the second time as " + outcome);
			return;
		}
		entry.outcome = outcome;
		this.endedCount++;
		if (outcome instanceof RequestOutcome.NotRun && entry.runs > 0) {
			this.violations.add(request + " was refused as not run but ran");
		}
		if (outcome instanceof RequestOutcome.Answered && entry.runs == 0) {
			this.violations.add(request + " was answered but did not run");
		}
	}

	/**
	 * Discards a request that has ended and cannot run any more, to bound the memory use
	 * of long simulations. Requests that have not ended are kept.
	 * @param request the request
	 */
	public void discard(RequestId request) {
		Entry entry = this.trackedRequests.get(request);
		if (entry != null && entry.outcome != null) {
			this.trackedRequests.remove(request);
		}
	}

	/**
	 * Returns the number of requests that have ended.
	 * @return the number of requests
	 */
	public long endedCount() {
		return this.endedCount;
	}

	/**
	 * Returns the violations so far. Requests that have not ended are not violations.
	 * @return one text for each violation
	 */
	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns all violations at the end of a simulation. Every request must have ended by
	 * then.
	 * @return one text for each violation
	 */
	public List<String> finalViolations() {
		List<String> result = new ArrayList<>(this.violations);
		this.trackedRequests.forEach((request, entry) -> {
			if (entry.outcome == null) {
				result.add(request + " did not end");
			}
		});
		return result;
	}

	private static final class Entry {

		private final boolean idempotent;

		private int runs;

		private @Nullable RequestOutcome outcome;

		private Entry(boolean idempotent) {
			this.idempotent = idempotent;
		}

	}

}
