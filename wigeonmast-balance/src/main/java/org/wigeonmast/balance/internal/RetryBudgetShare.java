package org.wigeonmast.balance.internal;

import org.wigeonmast.balance.BalanceSettings;

/**
 * A daemon's share of the retry budget of a service, kept as a token bucket that each
 * request of a caller refills a little.
 * <p>
 * Thread safety: none. Each daemon stays within its own share, so that the fleet stays
 * within the whole budget without coordination. Invariant: over any period the expected
 * number of retries is at most the capacity plus the fraction earned by the requests of
 * that period.
 */
public final class RetryBudgetShare {

	/**
	 * Fraction of the budget that is used, because daemons may disagree on the number of
	 * live daemons.
	 */
	private static final double USED_FRACTION = 0.8;

	private final double ratio;

	private final double slack;

	private double capacity;

	private double available;

	private boolean drawLost;

	/**
	 * Creates a budget.
	 * @param settings the settings
	 * @param daemons the number of live daemons
	 */
	public RetryBudgetShare(BalanceSettings settings, int daemons) {
		this.ratio = settings.retryBudgetRatio() * USED_FRACTION;
		this.slack = settings.retryBudgetSlack() * USED_FRACTION;
		this.capacity = this.slack / daemons;
		// A restarted daemon must not spend its whole share a second time at once.
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

	/** Records a request of a caller, which earns a fraction of a retry. */
	public void recordRequest() {
		this.drawLost = false;
		this.available = Math.min(Math.max(this.capacity, this.ratio), this.available + this.ratio);
	}

	/**
	 * Takes a retry from the budget if there is one. If only a fraction of a retry is
	 * available, a whole one is granted with a probability equal to that fraction, drawn
	 * once per recorded request, and the budget becomes negative; so many daemons with
	 * small shares stay within the whole budget on average.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive), uniform over calls
	 * @return whether a retry was taken
	 */
	public boolean tryTake(double draw) {
		if (this.available < 1) {
			if (this.drawLost || draw >= this.available) {
				this.drawLost = true;
				return false;
			}
		}
		this.available--;
		return true;
	}

}
