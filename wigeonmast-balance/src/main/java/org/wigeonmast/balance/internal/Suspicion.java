package org.wigeonmast.balance.internal;

/**
 * How likely a backend server is to be in a spell of failing requests.
 * <p>
 * Thread safety: none. The suspicion is the logarithm of the odds, to which each
 * observation adds the logarithm of its likelihood ratio; between observations it decays
 * towards its value at rest, because spells end by themselves. Invariant: the value lies
 * between rest and {@link #HIGHEST}.
 */
public final class Suspicion {

	/** Logarithm of the odds without evidence: one server in twenty is failing. */
	private static final double REST = Math.log(0.05 / 0.95);

	/** Bound that lets a server return within seconds of its last failure. */
	private static final double HIGHEST = 3.5;

	/** Time in milliseconds in which the distance to rest falls to about a third. */
	private static final double DECAY_MILLISECONDS = 5000;

	/** Probability from which a server counts as suspected. */
	private static final double SUSPECTED = 0.4;

	private double value = REST;

	private long updatedAt;

	private long evidenceAt = -1;

	/**
	 * Adds an observation.
	 * @param now the monotonic time in milliseconds
	 * @param weight the logarithm of the likelihood ratio of a failing server to a sound
	 * one
	 */
	public void observe(long now, double weight) {
		this.value = Math.clamp(value(now) + weight, REST, HIGHEST);
		this.updatedAt = now;
		this.evidenceAt = now;
	}

	/**
	 * Returns the probability that the server is failing.
	 * @param now the monotonic time in milliseconds
	 * @return the probability
	 */
	public double probability(long now) {
		return 1 / (1 + Math.exp(-value(now)));
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
		return (this.evidenceAt < 0) ? -1 : now - this.evidenceAt;
	}

	private double value(long now) {
		return REST + (this.value - REST) * Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
	}

}
