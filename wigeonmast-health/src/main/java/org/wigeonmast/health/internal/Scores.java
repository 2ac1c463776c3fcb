package org.wigeonmast.health.internal;

/**
 * Log-likelihood ratios of one request for the hypothesis "unhealthy" against "as its
 * peers".
 * <p>
 * Thread safety: stateless. Invariant: under the hypothesis "as its peers" the mean of
 * the exponential of a score is at most 1, so a cumulative sum of scores reaches
 * {@code h} by chance at most once in {@code exp(h)} requests. No assumption is made
 * about the distribution of durations, because only the rank among the peers counts.
 */
final class Scores {

	/** A share of the work of a slow server is slower than this power suggests. */
	private static final double SLOW_SHARE = 0.5;

	/**
	 * Exponent of the density of ranks of slow work; 32 counts ranks above about 0.95 as
	 * evidence and bounds the score of one request at 2.8.
	 */
	private static final int RANK_EXPONENT = 32;

	/** Share of failures of an unhealthy server. */
	private static final double FAILING_SHARE = 0.25;

	/** Least share of failures that is assumed of healthy servers. */
	private static final double LEAST_FAILURE_SHARE = 0.01;

	/**
	 * Tails are assumed to fall at least as a power law with this exponent beyond the
	 * durations that the peers show.
	 */
	private static final double TAIL_EXPONENT = 1.5;

	/** Share of durations beyond which the tail is extrapolated. */
	private static final double TAIL_SHARE = 0.01;

	private Scores() {
	}

	/**
	 * Scores finished work by its rank.
	 * @param rank the share of the peers' durations that are shorter
	 * @return the score
	 */
	static double slow(double rank) {
		double density = RANK_EXPONENT * Math.pow(rank, RANK_EXPONENT - 1);
		return Math.log(1 - SLOW_SHARE + SLOW_SHARE * density);
	}

	/**
	 * Scores work that is still running.
	 * @param rank the share of the peers' durations that are shorter than it has run
	 * @param beyond how many times longer it has run than the start of the tail, at least
	 * 1
	 * @return the score, not negative
	 */
	static double running(double rank, double beyond) {
		double longer = Math.max(1 - rank, TAIL_SHARE * Math.pow(beyond, -TAIL_EXPONENT));
		double ratio = (1 - Math.pow(1 - longer, RANK_EXPONENT)) / longer;
		if (longer < TAIL_SHARE) {
			ratio = Math.max(ratio, TAIL_SHARE * RANK_EXPONENT / longer);
		}
		return Math.log(1 - SLOW_SHARE + SLOW_SHARE * ratio);
	}

	/**
	 * Scores whether a request failed.
	 * @param failed whether it failed
	 * @param peers the share of the peers' requests that failed
	 * @return the score
	 */
	static double failing(boolean failed, double peers) {
		double expected = Math.max(LEAST_FAILURE_SHARE, peers);
		double unhealthy = expected + FAILING_SHARE * (1 - expected);
		return failed ? Math.log(unhealthy / expected) : Math.log((1 - unhealthy) / (1 - expected));
	}

}
