package org.wigeonmast.balance.internal;

/**
 * The estimated probability that a backend server is in a failure episode, in which its
 * requests fail.
 * <p>
 * Thread safety: none. Each observation multiplies the odds by its likelihood ratio
 * (Bayesian update). An avoided server gets no requests, so between observations its
 * probability decays towards the fraction of servers that are in a failure episode at any
 * time. A server that is not avoided gets requests and its failures are reported at once,
 * so that the absence of reports is evidence of health and its probability decays to the
 * minimum. Invariant: the probability lies between {@link #MIN_PROBABILITY} and
 * {@link #MAX_PROBABILITY}.
 */
public final class ServerSuspicion {

	/** Probability for a server without any evidence. */
	private static final double INITIAL_PROBABILITY = 0.08;

	/** Probability for a server that is used and has no reported failure. */
	private static final double MIN_PROBABILITY = 0.03;

	/**
	 * Fraction of servers in a failure episode, to which that of an avoided server
	 * decays.
	 */
	private static final double EPISODE_PROBABILITY = 0.28;

	/**
	 * Probability above which a server is avoided, so that missing reports say nothing.
	 */
	private static final double AVOIDED_THRESHOLD = 0.2;

	/** Upper bound, so that a few successes clear a server after many failures. */
	private static final double MAX_PROBABILITY = 0.97;

	/**
	 * Time constant in milliseconds of the decay while the server is avoided; failure
	 * episodes last for seconds to tens of seconds.
	 */
	private static final double AVOIDED_DECAY_MS = 7000;

	/** Time constant in milliseconds of the decay while the server is used. */
	private static final double USED_DECAY_MS = 4000;

	/** Probability from which a server counts as suspected. */
	private static final double SUSPECTED_THRESHOLD = 0.4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double probability = INITIAL_PROBABILITY;

	private long updatedAt;

	private long evidenceAt = NEVER;

	/**
	 * Creates the estimate for a server without evidence.
	 * @param now the current monotonic time in milliseconds
	 */
	public ServerSuspicion(long now) {
		this.updatedAt = now;
	}

	/**
	 * Updates the probability by an observation.
	 * @param now the current monotonic time in milliseconds
	 * @param logLikelihoodRatio the logarithm of the likelihood ratio of a failing server
	 * to a healthy one
	 */
	public void observe(long now, double logLikelihoodRatio) {
		double prior = probability(now);
		double odds = prior / (1 - prior) * Math.exp(logLikelihoodRatio);
		set(now, odds / (1 + odds));
		this.evidenceAt = now;
	}

	/**
	 * Adopts the probability that a peer reported, if its evidence is more recent.
	 * @param now the current monotonic time in milliseconds
	 * @param reportedProbability the probability that the peer reported
	 * @param age the age of its evidence in milliseconds
	 * @return whether it was adopted
	 */
	public boolean adopt(long now, double reportedProbability, long age) {
		if (now - age <= this.evidenceAt) {
			return false;
		}
		set(now, reportedProbability);
		this.evidenceAt = now - age;
		return true;
	}

	/**
	 * Returns the probability that the server is in a failure episode.
	 * @param now the current monotonic time in milliseconds
	 * @return the probability
	 */
	public double probability(long now) {
		double elapsed = now - this.updatedAt;
		double start = this.probability;
		return (start > AVOIDED_THRESHOLD) ? decay(start, EPISODE_PROBABILITY, elapsed / AVOIDED_DECAY_MS)
				: decay(start, MIN_PROBABILITY, elapsed / USED_DECAY_MS);
	}

	/**
	 * Returns whether the server is avoided and so gets hardly any requests.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it is avoided
	 */
	public boolean isAvoided(long now) {
		return probability(now) > AVOIDED_THRESHOLD;
	}

	/**
	 * Returns whether the server is suspected.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it is
	 */
	public boolean isSuspected(long now) {
		return probability(now) >= SUSPECTED_THRESHOLD;
	}

	/**
	 * Returns the age of the last evidence.
	 * @param now the current monotonic time in milliseconds
	 * @return the age in milliseconds, -1 without evidence
	 */
	public long evidenceAge(long now) {
		return (this.evidenceAt == NEVER) ? -1 : now - this.evidenceAt;
	}

	private static double decay(double from, double to, double timeConstants) {
		return to + (from - to) * Math.exp(-timeConstants);
	}

	private void set(long now, double value) {
		this.probability = Math.clamp(value, MIN_PROBABILITY, MAX_PROBABILITY);
		this.updatedAt = now;
	}

}
