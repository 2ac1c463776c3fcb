package org.wigeonmast.health.internal;

import java.util.HashMap;
import java.util.Map;

import org.wigeonmast.core.DaemonId;

/**
 * Evidence that one backend server is unreachable, from the requests of each daemon that
 * got no answer.
 * <p>
 * Thread safety: none. Invariant: a fault of the paths from some daemons does not raise
 * {@link #unreachableSum()} for long, because answers to the other daemons lower it.
 */
final class ReachabilityEvidence {

	/** Maximum share of the daemons that a path fault is assumed to affect. */
	private static final double PATH_SHARE = 0.6;

	/** Share of requests to an unreachable server that get no answer. */
	private static final double UNREACHABLE_SHARE = 0.98;

	private static final double NO_ANSWER_SCORE = Math.log(UNREACHABLE_SHARE / PATH_SHARE);

	private static final double ANSWER_SCORE = Math.log((1 - UNREACHABLE_SHARE) / (1 - PATH_SHARE));

	/** Number of requests without answer whose scores together reach the threshold. */
	private static final double FAILURES_TO_THRESHOLD = OutlierDetector.THRESHOLD / NO_ANSWER_SCORE;

	/**
	 * Lowest value of the limit on the unanswered requests that are counted for each
	 * daemon. With few daemons the limit is higher.
	 */
	private static final int MIN_COUNTED_PER_OBSERVER = 3;

	/**
	 * Number of daemons that must recently have reached the server again after failures
	 * for further failures to be attributed to the server.
	 */
	private static final int MIN_RECOVERED_OBSERVERS = 3;

	/** Time in milliseconds for which the results of a daemon are kept. */
	private static final long RETENTION_MS = 5_000;

	private static final int MAX_OBSERVERS = 4_096;

	private final Map<DaemonId, Observer> observers = new HashMap<>();

	private double unreachableSum;

	private long answerCount;

	private long nextCleanupAt;

	double unreachableSum() {
		return this.unreachableSum;
	}

	/**
	 * Returns the number of daemons that got no answer to their latest request.
	 * @return the number of daemons
	 */
	int failingObserverCount() {
		return (int) this.observers.values().stream().filter((observer) -> observer.failing).count();
	}

	int observerCount() {
		return this.observers.size();
	}

	/**
	 * Records an answer of any status.
	 * @param time the monotonic time in milliseconds of the answer
	 * @param name the daemon that received it
	 */
	void recordAnswer(long time, DaemonId name) {
		Observer observer = touchObserver(time, name);
		if (observer.failing) {
			observer.failing = false;
			observer.recoveredAt = time;
		}
		if (this.unreachableSum > 0) {
			this.unreachableSum = WorkClassEvidence.clamp(this.unreachableSum + ANSWER_SCORE);
		}
		this.answerCount++;
	}

	/**
	 * Records a request without answer.
	 * @param time the monotonic time in milliseconds at which the request failed
	 * @param name the daemon that sent it
	 * @return whether the failure is attributed to the server, because several daemons
	 * recently reached it again after failures
	 */
	boolean recordNoAnswer(long time, DaemonId name) {
		int recoveredCount = 0;
		for (Observer other : this.observers.values()) {
			if (other.recoveredAt > time - RETENTION_MS) {
				recoveredCount++;
			}
		}
		Observer observer = touchObserver(time, name);
		observer.failing = true;
		if (observer.answerCountAtReset != this.answerCount) {
			observer.answerCountAtReset = this.answerCount;
			observer.countedFailures = 0;
		}
		double limit = Math.max(MIN_COUNTED_PER_OBSERVER, FAILURES_TO_THRESHOLD / this.observers.size() + 1);
		if (observer.countedFailures < limit) {
			observer.countedFailures++;
			this.unreachableSum = WorkClassEvidence.clamp(this.unreachableSum + NO_ANSWER_SCORE);
		}
		return recoveredCount >= MIN_RECOVERED_OBSERVERS;
	}

	void clear() {
		this.observers.clear();
		this.unreachableSum = 0;
	}

	private Observer touchObserver(long time, DaemonId name) {
		if (time >= this.nextCleanupAt || this.observers.size() >= MAX_OBSERVERS) {
			this.nextCleanupAt = time + RETENTION_MS;
			this.observers.values().removeIf((observer) -> observer.lastSeenAt < time - RETENTION_MS);
		}
		Observer observer = this.observers.computeIfAbsent(name, (added) -> new Observer());
		observer.lastSeenAt = time;
		return observer;
	}

	private static final class Observer {

		private long lastSeenAt;

		private boolean failing;

		private long recoveredAt = Long.MIN_VALUE / 2;

		private long answerCountAtReset = -1;

		private int countedFailures;

	}

}
