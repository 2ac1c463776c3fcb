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
 * number of requests in flight by {@link #GREATEST_IN_FLIGHT}.
 */
final class ServerEvidence {

	private static final int GREATEST_IN_FLIGHT = 64;

	/**
	 * Tolerance in milliseconds between the start times of a result and of its request in
	 * flight.
	 */
	private static final long MATCH = 5;

	final ClassEvidence[] classes = new ClassEvidence[WorkClass.values().length];

	final PathEvidence paths = new PathEvidence();

	final List<Running> running = new ArrayList<>();

	/**
	 * Times in milliseconds of the latest answers, one for each slot; the oldest is at
	 * the cursor.
	 */
	private final long[] ends;

	private int cursor;

	/** Whether other servers are compared with the work of this server. */
	boolean reference = true;

	/** Whether slow work counts as evidence; it does not during a cold start. */
	boolean slownessCounts = true;

	boolean endpointUnhealthy;

	ServerEvidence(int slots) {
		this.ends = new long[Math.max(1, slots)];
		Arrays.fill(this.ends, Long.MIN_VALUE);
		for (int index = 0; index < this.classes.length; index++) {
			this.classes[index] = new ClassEvidence();
		}
	}

	int slots() {
		return this.ends.length;
	}

	ClassEvidence of(WorkClass workClass) {
		return this.classes[workClass.ordinal()];
	}

	/**
	 * Returns the latest time at which the server can have begun to process a request.
	 * The slots that earlier requests still hold did not process it, and each of the
	 * other slots completed one of the latest answers before.
	 * @param start the time in milliseconds at which the request was sent
	 * @param held the number of slots that requests sent earlier still hold
	 * @return the monotonic time in milliseconds
	 */
	long serviceStart(long start, int held) {
		int newer = Math.min(held, this.ends.length - 1);
		return Math.max(start, this.ends[(this.cursor + newer) % this.ends.length]);
	}

	/**
	 * Returns the number of requests that were sent before a time and are still in
	 * flight, as far as daemons reported them.
	 * @param start the time in milliseconds
	 * @return the number of requests
	 */
	int runningSince(long start) {
		int count = 0;
		for (Running request : this.running) {
			count += (request.start < start) ? 1 : 0;
		}
		return count;
	}

	boolean reported(DaemonId observer, long start) {
		for (Running request : this.running) {
			if (Math.abs(request.start - start) <= MATCH && request.observer.equals(observer)) {
				return true;
			}
		}
		return false;
	}

	void answered(long end) {
		this.ends[this.cursor] = end;
		this.cursor = (this.cursor + 1) % this.ends.length;
	}

	void replaceRunning(DaemonId observer) {
		this.running.removeIf((request) -> request.observer.equals(observer));
	}

	void addRunning(Running request) {
		if (this.running.size() < GREATEST_IN_FLIGHT) {
			this.running.add(request);
		}
	}

	void finished(DaemonId observer, WorkClass workClass, long start) {
		for (int index = 0; index < this.running.size(); index++) {
			Running request = this.running.get(index);
			if (request.workClass == workClass && Math.abs(request.start - start) <= MATCH
					&& request.observer.equals(observer)) {
				this.running.remove(index);
				return;
			}
		}
	}

	void clear() {
		for (ClassEvidence evidence : this.classes) {
			evidence.clear();
		}
		this.paths.clear();
		this.running.clear();
	}

	/**
	 * A request in flight.
	 *
	 * @param observer the daemon that sent it
	 * @param workClass the class of work
	 * @param start the time in milliseconds at which it was sent
	 * @param reported the time in milliseconds at which the daemon reported it
	 */
	record Running(DaemonId observer, WorkClass workClass, long start, long reported) {
	}

}
