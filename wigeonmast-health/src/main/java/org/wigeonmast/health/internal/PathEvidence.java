package org.wigeonmast.health.internal;

import java.util.HashMap;
import java.util.Map;

import org.wigeonmast.core.DaemonId;

/**
 * Evidence that one backend server is unreachable, from the requests of each daemon that
 * got no answer.
 * <p>
 * Thread safety: none. Invariant: a fault of the paths from some daemons does not raise
 * {@link #unreachable()} for long, because answers to the other daemons lower it.
 */
final class PathEvidence {

	/** Maximum share of the daemons that a path fault is assumed to affect. */
	private static final double PATH_SHARE = 0.6;

	/** Share of requests to an unreachable server that get no answer. */
	private static final double UNREACHABLE_SHARE = 0.98;

	private static final double NO_ANSWER_SCORE = Math.log(UNREACHABLE_SHARE / PATH_SHARE);

	private static final double ANSWER_SCORE = Math.log((1 - UNREACHABLE_SHARE) / (1 - PATH_SHARE));

	/** Number of requests without answer whose scores together reach the threshold. */
	private static final double NEEDED = OutlierDetector.THRESHOLD / NO_ANSWER_SCORE;

	/**
	 * Minimum of the upper bound on the requests without answer that are counted per
	 * daemon; with few daemons the bound is higher.
	 */
	private static final int LEAST_PER_OBSERVER = 3;

	/**
	 * Number of daemons that must recently have reached the server again after failures
	 * for further failures to be attributed to the server.
	 */
	private static final int RECOVERED_OBSERVERS = 3;

	/** Time in milliseconds for which the results of a daemon are kept. */
	private static final long MEMORY = 5_000;

	private static final int GREATEST_OBSERVERS = 4_096;

	private final Map<DaemonId, Observer> observers = new HashMap<>();

	private double unreachable;

	private long generation;

	private long nextCleaning;

	double unreachable() {
		return this.unreachable;
	}

	/**
	 * Returns the number of daemons that got no answer to their latest request.
	 * @return the number of daemons
	 */
	int failingObservers() {
		return (int) this.observers.values().stream().filter((observer) -> observer.failing).count();
	}

	int knownObservers() {
		return this.observers.size();
	}

	/**
	 * Records an answer of any status.
	 * @param time the monotonic time in milliseconds of the answer
	 * @param name the daemon that received it
	 */
	void answered(long time, DaemonId name) {
		Observer observer = observer(time, name);
		if (observer.failing) {
			observer.failing = false;
			observer.recovered = time;
		}
		if (this.unreachable > 0) {
			this.unreachable = ClassEvidence.bounded(this.unreachable + ANSWER_SCORE);
		}
		this.generation++;
	}

	/**
	 * Records a request without answer.
	 * @param time the monotonic time in milliseconds at which the request failed
	 * @param name the daemon that sent it
	 * @return whether the failure is attributed to the server, because several daemons
	 * recently reached it again after failures
	 */
	boolean unanswered(long time, DaemonId name) {
		int recovered = 0;
		for (Observer other : this.observers.values()) {
			if (other.recovered > time - MEMORY) {
				recovered++;
			}
		}
		Observer observer = observer(time, name);
		observer.failing = true;
		if (observer.generation != this.generation) {
			observer.generation = this.generation;
			observer.counted = 0;
		}
		double allowance = Math.max(LEAST_PER_OBSERVER, NEEDED / this.observers.size() + 1);
		if (observer.counted < allowance) {
			observer.counted++;
			this.unreachable = ClassEvidence.bounded(this.unreachable + NO_ANSWER_SCORE);
		}
		return recovered >= RECOVERED_OBSERVERS;
	}

	void clear() {
		this.observers.clear();
		this.unreachable = 0;
	}

	private Observer observer(long time, DaemonId name) {
		if (time >= this.nextCleaning || this.observers.size() >= GREATEST_OBSERVERS) {
			this.nextCleaning = time + MEMORY;
			this.observers.values().removeIf((observer) -> observer.seen < time - MEMORY);
		}
		Observer observer = this.observers.computeIfAbsent(name, (added) -> new Observer());
		observer.seen = time;
		return observer;
	}

	private static final class Observer {

		private long seen;

		private boolean failing;

		private long recovered = Long.MIN_VALUE / 2;

		private long generation = -1;

		private int counted;

	}

}
