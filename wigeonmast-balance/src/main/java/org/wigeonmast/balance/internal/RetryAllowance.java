package org.wigeonmast.balance.internal;

import org.wigeonmast.balance.BalanceSettings;

/**
 * This daemon's share of the second sends that a service may get.
 * <p>
 * Thread safety: none. Each daemon keeps to its own share, so the fleet keeps to the
 * whole without messages. Invariant: over any span of time the expected number of sends
 * taken is at most the capacity plus the earned share of the requests in that span.
 */
public final class RetryAllowance {

	/**
	 * Part of the whole that is given out, because daemons may disagree on their number.
	 */
	private static final double GIVEN_OUT = 0.8;

	private final double ratio;

	private final double slack;

	private double capacity;

	private double available;

	private boolean drawn;

	/**
	 * Creates an allowance.
	 * @param settings the settings
	 * @param daemons the number of live daemons
	 */
	public RetryAllowance(BalanceSettings settings, int daemons) {
		this.ratio = settings.retryRatio() * GIVEN_OUT;
		this.slack = settings.retrySlack() * GIVEN_OUT;
		this.capacity = this.slack / daemons;
		// A daemon that starts again must not give out its share a second time at once.
		this.available = this.capacity / 2;
	}

	/**
	 * Sets the number of live daemons.
	 * @param daemons the number, at least 1
	 */
	public void setDaemons(int daemons) {
		this.capacity = this.slack / daemons;
		this.available = Math.min(this.available, this.capacity);
	}

	/** Counts a request of a caller, which earns a part of a second send. */
	public void requestAccepted() {
		this.drawn = false;
		this.available = Math.min(Math.max(this.capacity, this.ratio), this.available + this.ratio);
	}

	/**
	 * Takes a second send. A part of one is taken as a whole one with the probability of
	 * that part, once for each request that earned some, and leaves a debt; so many
	 * daemons with small shares keep to the whole on average.
	 * @param position a number from 0 (inclusive) to 1 (exclusive), uniform over calls
	 * @return whether there was one
	 */
	public boolean take(double position) {
		if (this.available < 1) {
			if (this.drawn || position >= this.available) {
				this.drawn = true;
				return false;
			}
		}
		this.available--;
		return true;
	}

}
