package org.wigeonmast.health.internal;

/**
 * The evidence about one backend server from work of one class.
 * <p>
 * Thread safety: none. Invariant: the sums lie between 0 and {@link #GREATEST_SUM}.
 */
final class ClassEvidence {

	/** Bounds the healthy work that it takes to clear a server. */
	static final double GREATEST_SUM = 2 * Detector.THRESHOLD;

	/** Weight of one request in the figures for explanations. */
	private static final float RECENT = 0.1F;

	final DurationHistogram durations = new DurationHistogram();

	/** Answers in the same decaying window as the durations. */
	float answers;

	/** Answers that were errors. */
	float errors;

	/** Cumulative sum of the scores for slowness. */
	double slow;

	/** Cumulative sum of the scores for errors. */
	double failing;

	/** Scores of the requests in flight. */
	double running;

	/** Moving average of the logarithm of the durations, for explanations. */
	private float logarithm;

	/** Moving average of the share of errors, for explanations. */
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

	/** Forgets the judgement and keeps nothing of the earlier work. */
	void clear() {
		this.durations.clear();
		this.answers = 0;
		this.errors = 0;
		this.slow = 0;
		this.failing = 0;
		this.running = 0;
	}

}
