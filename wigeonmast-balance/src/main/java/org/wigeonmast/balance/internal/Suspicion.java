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
 * minimum. Invariant: the probability lies between {@link #LOWEST} and {@link #HIGHEST}.
 */
public final class Suspicion {

	/** Probability for a server without any evidence. */
	private static final double UNKNOWN = 0.08;

	/** Probability for a server that is used and has no reported failure. */
	private static final double LOWEST = 0.03;

	/**
	 * Fraction of servers in a failure episode, to which that of an avoided server
	 * decays.
	 */
	private static final double SPELL_SHARE = 0.28;

	/**
	 * Probability above which a server is avoided, so that missing reports say nothing.
	 */
	private static final double AVOIDED = 0.2;

	/** Upper bound, so that a few successes clear a server after many failures. */
	private static final double HIGHEST = 0.97;

	/**
	 * Time constant in milliseconds of the decay while the server is avoided; failure
	 * episodes last for seconds to tens of seconds.
	 */
	private static final double AVOIDED_MILLISECONDS = 7000;

	/** Time constant in milliseconds of the decay while the server is used. */
	private static final double USED_MILLISECONDS = 4000;

	/** Probability from which a server counts as suspected. */
	private static final double SUSPECTED = 0.4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double probability = UNKNOWN;

	private long updatedAt;

	private long evidenceAt = NEVER;

	/**
	 * Creates the estimate for a server without evidence.
	 * @param now the current monotonic time in milliseconds
	 */
	public Suspicion(long now) {
		this.updatedAt = now;
	}

	/**
	 * Updates the probability by an observation.
	 * @param now the current monotonic time in milliseconds
	 * @param weight the logarithm of the likelihood ratio of a failing server to a
	 * healthy one
	 */
	public void observe(long now, double weight) {
		double before = probability(now);
		double odds = before / (1 - before) * Math.exp(weight);
		set(now, odds / (1 + odds));
		this.evidenceAt = now;
	}

	/**
	 * Adopts the probability that a peer reported, if its evidence is more recent.
	 * @param now the current monotonic time in milliseconds
	 * @param told the probability that the peer reported
	 * @param age the age of its evidence in milliseconds
	 * @return whether it was adopted
	 */
	public boolean adopt(long now, double told, long age) {
		if (now - age <= this.evidenceAt) {
			return false;
		}
		set(now, told);
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
		return (start > AVOIDED) ? relax(start, SPELL_SHARE, elapsed / AVOIDED_MILLISECONDS)
				: relax(start, LOWEST, elapsed / USED_MILLISECONDS);
	}

	/**
	 * Returns whether the server is avoided and so gets hardly any requests.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it is avoided
	 */
	public boolean isAvoided(long now) {
		return probability(now) > AVOIDED;
	}

	/**
	 * Returns whether the server is suspected.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it is
	 */
	public boolean isSuspected(long now) {
		return probability(now) >= SUSPECTED;
	}

	/**
	 * Returns the age of the last evidence.
	 * @param now the current monotonic time in milliseconds
	 * @return the age in milliseconds, -1 without evidence
	 */
	public long evidenceAge(long now) {
		return (this.evidenceAt == NEVER) ? -1 : now - this.evidenceAt;
	}

	private static double relax(double from, double to, double times) {
		return to + (from - to) * Math.exp(-times);
	}

	private void set(long now, double value) {
		this.probability = Math.clamp(value, LOWEST, HIGHEST);
		this.updatedAt = now;
	}

}
