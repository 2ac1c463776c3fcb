package org.wigeonmast.balance.internal;

/**
 * How likely a backend server is to be in a spell of failing requests.
 * <p>
 * Thread safety: none. Each observation multiplies the odds by its likelihood ratio.
 * Between observations a suspected server, which gets no requests, relaxes towards the
 * share of servers that are in a spell at any time; below that, requests flow and
 * failures are told at once, so that no news is evidence of soundness. Invariant: the
 * probability lies between {@link #LOWEST} and {@link #HIGHEST}.
 */
public final class Suspicion {

	/** Probability without any evidence, of a server that was never used. */
	private static final double UNKNOWN = 0.08;

	/** Probability of a server that is used and of which no failure is told. */
	private static final double LOWEST = 0.03;

	/** Share of servers that are in a spell, to which the probability relaxes. */
	private static final double SPELL_SHARE = 0.28;

	/** Probability from which a server is avoided, so that silence says nothing. */
	private static final double AVOIDED = 0.2;

	/** Bound that lets a few successes clear a server of many failures. */
	private static final double HIGHEST = 0.97;

	/**
	 * Time in milliseconds in which the distance falls to about a third while avoided;
	 * spells of failing last for seconds to tens of seconds.
	 */
	private static final double AVOIDED_MILLISECONDS = 7000;

	/** Time in milliseconds in which the distance falls to about a third while used. */
	private static final double USED_MILLISECONDS = 4000;

	/** Probability from which a server counts as suspected. */
	private static final double SUSPECTED = 0.4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double probability = UNKNOWN;

	private long updatedAt;

	private long evidenceAt = NEVER;

	/**
	 * Creates the suspicion of a server without evidence.
	 * @param now the monotonic time in milliseconds
	 */
	public Suspicion(long now) {
		this.updatedAt = now;
	}

	/**
	 * Adds an observation.
	 * @param now the monotonic time in milliseconds
	 * @param weight the logarithm of the likelihood ratio of a failing server to a sound
	 * one
	 */
	public void observe(long now, double weight) {
		double before = probability(now);
		double odds = before / (1 - before) * Math.exp(weight);
		set(now, odds / (1 + odds));
		this.evidenceAt = now;
	}

	/**
	 * Takes over what a peer believes, if its evidence is more recent.
	 * @param now the monotonic time in milliseconds
	 * @param told the probability that the peer believes
	 * @param age the age of its evidence in milliseconds
	 * @return whether it was taken over
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
	 * Returns the probability that the server is failing.
	 * @param now the monotonic time in milliseconds
	 * @return the probability
	 */
	public double probability(long now) {
		double elapsed = now - this.updatedAt;
		double start = this.probability;
		return (start > AVOIDED) ? relax(start, SPELL_SHARE, elapsed / AVOIDED_MILLISECONDS)
				: relax(start, LOWEST, elapsed / USED_MILLISECONDS);
	}

	/**
	 * Returns whether the server gets next to no requests, so that an answer of it is
	 * news.
	 * @param now the monotonic time in milliseconds
	 * @return whether it is avoided
	 */
	public boolean isAvoided(long now) {
		return probability(now) > AVOIDED;
	}

	/**
	 * Returns whether the server is suspected.
	 * @param now the monotonic time in milliseconds
	 * @return whether it is
	 */
	public boolean isSuspected(long now) {
		return probability(now) >= SUSPECTED;
	}

	/**
	 * Returns the age of the last observation.
	 * @param now the monotonic time in milliseconds
	 * @return the age in milliseconds, -1 without any
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
