package org.wigeonmast.balance.internal;

/**
 * How likely a backend server is to be in a spell of failing requests.
 * <p>
 * Thread safety: none. Each observation multiplies the odds by its likelihood ratio;
 * between observations the probability relaxes towards its value at rest, because spells
 * end by themselves. Invariant: the probability lies between rest and {@link #HIGHEST}.
 */
public final class Suspicion {

	/** Probability without evidence. */
	private static final double REST = 0.08;

	/** Bound that lets a few successes clear a server of many failures. */
	private static final double HIGHEST = 0.97;

	/** Time in milliseconds in which the distance to rest falls to about a third. */
	private static final double RELAXATION_MILLISECONDS = 6000;

	/** Probability from which a server counts as suspected. */
	private static final double SUSPECTED = 0.4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double probability = REST;

	private long updatedAt;

	private long evidenceAt = NEVER;

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
		return REST + (this.probability - REST) * Math.exp((this.updatedAt - now) / RELAXATION_MILLISECONDS);
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

	private void set(long now, double value) {
		this.probability = Math.clamp(value, REST, HIGHEST);
		this.updatedAt = now;
	}

}
