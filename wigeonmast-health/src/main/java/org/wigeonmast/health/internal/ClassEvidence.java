package org.wigeonmast.health.internal;

/**
 * The evidence about one backend server from the work of one class.
 * <p>
 * Thread safety: none. Invariant: the cumulative sums are between 0 and
 * {@link #GREATEST_SUM}.
 */
final class ClassEvidence {

	/**
	 * Upper bound of a cumulative sum, which bounds the amount of healthy work that
	 * clears a server.
	 */
	static final double GREATEST_SUM = 2 * OutlierDetector.THRESHOLD;

	/** Weight of one request in the moving averages for explanations. */
	private static final float RECENT = 0.1F;

	final DurationHistogram durations = new DurationHistogram();

	/** Number of answers, with the same decay as the durations. */
	float answers;

	/** Number of answers that were errors, with the same decay. */
	float errors;

	/** Cumulative sum of the scores for slowness. */
	double slow;

	/** Cumulative sum of the scores for errors. */
	double failing;

	/** Sum of the scores of the requests in flight. */
	double running;

	/**
	 * Moving average of the logarithm of the durations in milliseconds, for explanations.
	 */
	private float logarithm;

	/** Moving average of the error rate, for explanations. */
	private float recentErrors;

	void remember(boolean failed, long duration) {
		if (failed) {
			this.recentErrors += RECENT * (1 - this.recentErrors);
		}
		else {
			this.recentErrors -= RECENT * this.recentErrors;
			this.logarithm += RECENT * ((float) Math.log(Math.max(1, duration)) - this.logarithm);
		}
	}

	/**
	 * Returns the geometric mean of the recent durations.
	 * @return the mean in milliseconds
	 */
	double typicalDuration() {
		return Math.exp(this.logarithm);
	}

	double recentErrors() {
		return this.recentErrors;
	}

	void addSlow(double score) {
		this.slow = bounded(this.slow + score);
	}

	void addFailing(double score) {
		this.failing = bounded(this.failing + score);
	}

	static double bounded(double sum) {
		return Math.max(0, Math.min(GREATEST_SUM, sum));
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
		this.slow = 0;
		this.failing = 0;
		this.running = 0;
	}

}
