package org.wigeonmast.health.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.manifest.WorkClass;

/**
 * The evidence about one backend server.
 * <p>
 * Thread safety: none. Invariant: its size is bounded by the number of daemons, and the
 * number of requests in flight by {@link #MAX_IN_FLIGHT}.
 */
final class ServerEvidence {

	private static final int MAX_IN_FLIGHT = 64;

	/**
	 * Tolerance in milliseconds between the start times of a result and of its request in
	 * flight.
	 */
	private static final long MATCH_TOLERANCE_MS = 5;

	final WorkClassEvidence[] classEvidence = new WorkClassEvidence[WorkClass.values().length];

	final ReachabilityEvidence reachability = new ReachabilityEvidence();

	final List<InFlightRequest> inFlight = new ArrayList<>();

	/**
	 * Times in milliseconds of the latest answers, one for each slot; the oldest is at
	 * the cursor.
	 */
	private final long[] answerTimes;

	private int cursor;

	/** Whether other servers are compared with the work of this server. */
	boolean useAsReference = true;

	/** Whether slow work counts as evidence; it does not during a cold start. */
	boolean countSlowness = true;

	boolean endpointUnhealthy;

	ServerEvidence(int slots) {
		this.answerTimes = new long[Math.max(1, slots)];
		Arrays.fill(this.answerTimes, Long.MIN_VALUE);
		for (int index = 0; index < this.classEvidence.length; index++) {
			this.classEvidence[index] = new WorkClassEvidence();
		}
	}

	int slots() {
		return this.answerTimes.length;
	}

	WorkClassEvidence forClass(WorkClass workClass) {
		return this.classEvidence[workClass.ordinal()];
	}

	/**
	 * Returns the latest time at which the server can have begun to process a request.
	 * The slots that earlier requests still hold did not process it, and each of the
	 * other slots completed one of the latest answers before.
	 * @param start the time in milliseconds at which the request was sent
	 * @param heldSlots the number of slots that requests sent earlier still hold
	 * @return the monotonic time in milliseconds
	 */
	long latestServiceStart(long start, int heldSlots) {
		int offset = Math.min(heldSlots, this.answerTimes.length - 1);
		return Math.max(start, this.answerTimes[(this.cursor + offset) % this.answerTimes.length]);
	}

	/**
	 * Returns the number of requests that were sent before a time and are still in
	 * flight, as far as daemons reported them.
	 * @param time the time in milliseconds
	 * @return the number of requests
	 */
	int countInFlightBefore(long time) {
		int count = 0;
		for (InFlightRequest request : this.inFlight) {
			count += (request.sentAt < time) ? 1 : 0;
		}
		return count;
	}

	boolean isReported(DaemonId observer, long start) {
		for (InFlightRequest request : this.inFlight) {
			if (Math.abs(request.sentAt - start) <= MATCH_TOLERANCE_MS && request.observer.equals(observer)) {
				return true;
			}
		}
		return false;
	}

	void recordAnswer(long end) {
		this.answerTimes[this.cursor] = end;
		this.cursor = (this.cursor + 1) % this.answerTimes.length;
	}

	void removeInFlightOf(DaemonId observer) {
		this.inFlight.removeIf((request) -> request.observer.equals(observer));
	}

	void addInFlight(InFlightRequest request) {
		if (this.inFlight.size() < MAX_IN_FLIGHT) {
			this.inFlight.add(request);
		}
	}

	void removeRequest(DaemonId observer, WorkClass workClass, long start) {
		for (int index = 0; index < this.inFlight.size(); index++) {
			InFlightRequest request = this.inFlight.get(index);
			if (request.workClass == workClass && Math.abs(request.sentAt - start) <= MATCH_TOLERANCE_MS
					&& request.observer.equals(observer)) {
				this.inFlight.remove(index);
				return;
			}
		}
	}

	void clear() {
		for (WorkClassEvidence evidence : this.classEvidence) {
			evidence.clear();
		}
		this.reachability.clear();
		this.inFlight.clear();
	}

	/**
	 * A request in flight.
	 *
	 * @param observer the daemon that sent it
	 * @param workClass the class of work
	 * @param sentAt the time in milliseconds at which it was sent
	 * @param reportedAt the time in milliseconds at which the daemon reported it
	 */
	record InFlightRequest(DaemonId observer, WorkClass workClass, long sentAt, long reportedAt) {
	}

}
