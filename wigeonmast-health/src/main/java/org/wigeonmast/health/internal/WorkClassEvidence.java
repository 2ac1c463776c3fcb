package org.wigeonmast.health.internal;

/**
 * The evidence about one backend server from the work of one class.
 * <p>
 * Thread safety: none. Invariant: the cumulative sums are between 0 and {@link #MAX_SUM}.
 */
final class WorkClassEvidence {

	/**
	 * Upper bound of a cumulative sum, which bounds the amount of healthy work that
	 * clears a server.
	 */
	static final double MAX_SUM = 2 * OutlierDetector.THRESHOLD;

	/** Weight of one request in the moving averages for explanations. */
	private static final float RECENT_WEIGHT = 0.1F;

	final DurationHistogram durations = new DurationHistogram();

	/** Number of answers, with the same decay as the durations. */
	float answers;

	/** Number of answers that were errors, with the same decay as {@link #answers}. */
	float errors;

	/** Cumulative sum of the scores for slowness. */
	double slowSum;

	/** Cumulative sum of the scores for errors. */
	double failingSum;

	/** Sum of the scores of the requests in flight. */
	double inFlightScore;

	/**
	 * Moving average of the logarithm of the durations in milliseconds, for explanations.
	 */
	private float recentLogDuration;

	/** Moving average of the error rate, for explanations. */
	private float recentErrorRate;

	void updateRecent(boolean failed, long duration) {
		if (failed) {
			this.recentErrorRate += RECENT_WEIGHT * (1 - this.recentErrorRate);
		}
		else {
			this.recentErrorRate -= RECENT_WEIGHT * this.recentErrorRate;
			this.recentLogDuration += RECENT_WEIGHT
					* ((float) Math.log(Math.max(1, duration)) - this.recentLogDuration);
		}
	}

	/**
	 * Returns the geometric mean of the recent durations.
	 * @return the mean in milliseconds
	 */
	double typicalDuration() {
		return Math.exp(this.recentLogDuration);
	}

	double recentErrorRate() {
		return this.recentErrorRate;
	}

	void addSlowScore(double score) {
		this.slowSum = clamp(this.slowSum + score);
	}

	void addFailingScore(double score) {
		this.failingSum = clamp(this.failingSum + score);
	}

	static double clamp(double sum) {
		return Math.max(0, Math.min(MAX_SUM, sum));
	}

	void decay(float factor) {
		this.durations.decay(factor);
		this.answers *= factor;
		this.errors *= factor;
	}

	/** Clears the sums and the statistics of earlier work. */
	void clear() {
		this.durations.clear();
		this.answers = 0;
		this.errors = 0;
		this.slowSum = 0;
		this.failingSum = 0;
		this.inFlightScore = 0;
	}

}
