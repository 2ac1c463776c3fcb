package org.wigeonmast.balance.internal;

/**
 * Moving averages of the duration of a service's requests and of its deviation from the
 * average. Requests of services whose durations vary much are overdue later, so that
 * healthy servers are not suspected for the longer ones.
 * <p>
 * Thread safety: none. Invariant: both averages are at least 0.
 */
final class DurationStatistics {

	/** Weight of a new duration in the moving averages. */
	private static final double WEIGHT = 0.1;

	/** Duration in milliseconds that is assumed before the first answer. */
	private static final double INITIAL_AVERAGE_MS = 150;

	/** Deviation in milliseconds that is assumed before the first answer. */
	private static final double INITIAL_DEVIATION_MS = 75;

	/**
	 * Number of average deviations above the average from which a request is overdue.
	 */
	private static final double OVERDUE_DEVIATIONS = 4;

	/**
	 * Minimum multiple of the average from which a request is overdue, also if durations
	 * hardly vary.
	 */
	private static final double MIN_OVERDUE_FACTOR = 2.2;

	private double average = INITIAL_AVERAGE_MS;

	private double deviation = INITIAL_DEVIATION_MS;

	/**
	 * Records the duration of an answered request.
	 * @param milliseconds the duration in milliseconds
	 */
	void record(long milliseconds) {
		this.deviation += WEIGHT * (Math.abs(milliseconds - this.average) - this.deviation);
		this.average += WEIGHT * (milliseconds - this.average);
	}

	/**
	 * Returns the average duration.
	 * @return the average in milliseconds
	 */
	double averageMs() {
		return this.average;
	}

	/**
	 * Returns the time after which an unanswered request counts as overdue.
	 * @return the time in milliseconds
	 */
	long overdueAfterMs() {
		return (long) Math.max(this.average * MIN_OVERDUE_FACTOR, this.average + OVERDUE_DEVIATIONS * this.deviation);
	}

}
