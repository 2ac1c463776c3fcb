package org.wigeonmast.health.internal;

/**
 * Log-likelihood ratios of a single request for the hypothesis that a server is unhealthy
 * against the hypothesis that it behaves as its peers.
 * <p>
 * Thread safety: stateless. Invariant: if a server behaves as its peers, the mean of the
 * exponential of a score is at most 1, so a cumulative sum of scores reaches {@code h} by
 * chance at most once in {@code exp(h)} requests. No assumption is made about the
 * distribution of durations, because only the rank among the peers is used.
 */
final class LogLikelihoodRatios {

	/**
	 * Share of the work of a slow server whose ranks have the density of slow work; the
	 * ranks of the other work are uniform.
	 */
	private static final double SLOW_SHARE = 0.5;

	/**
	 * Exponent of the density of the ranks of slow work. With 32, only ranks above about
	 * 0.95 count as evidence and the score of one request is at most 2.8.
	 */
	private static final int RANK_EXPONENT = 32;

	/**
	 * Share of the requests that would succeed at a healthy server but fail at an
	 * unhealthy one.
	 */
	private static final double FAILING_SHARE = 0.25;

	/** Minimum share of failed requests that is assumed for healthy servers. */
	private static final double MIN_FAILURE_SHARE = 0.01;

	/**
	 * Beyond the observed durations of the peers, the tail of the distribution is assumed
	 * to decrease at least as fast as a power law with this exponent.
	 */
	private static final double TAIL_EXPONENT = 1.5;

	/** Share of durations beyond which the tail is extrapolated. */
	private static final double TAIL_SHARE = 0.01;

	private LogLikelihoodRatios() {
	}

	/**
	 * Returns the score of the duration of a finished request.
	 * @param rank the share of the peers' durations that are shorter
	 * @return the score, negative if the duration speaks for a healthy server
	 */
	static double forDuration(double rank) {
		double density = RANK_EXPONENT * Math.pow(rank, RANK_EXPONENT - 1);
		return Math.log(1 - SLOW_SHARE + SLOW_SHARE * density);
	}

	/**
	 * Returns the score of a request that is still in flight.
	 * @param rank the share of the peers' durations that are shorter than the elapsed
	 * time
	 * @param tailRatio the ratio of the elapsed time to the start of the tail, at least 1
	 * @return the score, not negative
	 */
	static double forInFlight(double rank, double tailRatio) {
		double longerShare = Math.max(1 - rank, TAIL_SHARE * Math.pow(tailRatio, -TAIL_EXPONENT));
		double ratio = (1 - Math.pow(1 - longerShare, RANK_EXPONENT)) / longerShare;
		if (longerShare < TAIL_SHARE) {
			ratio = Math.max(ratio, TAIL_SHARE * RANK_EXPONENT / longerShare);
		}
		return Math.log(1 - SLOW_SHARE + SLOW_SHARE * ratio);
	}

	/**
	 * Returns the score of the success or failure of a request.
	 * @param failed whether the request failed
	 * @param peerShare the share of the peers' requests that failed
	 * @return the score, negative if the request succeeded
	 */
	static double forOutcome(boolean failed, double peerShare) {
		double expected = Math.max(MIN_FAILURE_SHARE, peerShare);
		double unhealthy = expected + FAILING_SHARE * (1 - expected);
		return failed ? Math.log(unhealthy / expected) : Math.log((1 - unhealthy) / (1 - expected));
	}

}
