package org.wigeonmast.dispatch.internal;

/**
 * Retry budget that allows retries in proportion to recent successes, so that retries
 * cannot amplify an outage.
 * <p>
 * Thread safety: none. Invariant: in any interval the number of retries is at most
 * {@link #RETRIES_PER_SUCCESS} times the number of successes plus {@link #MAX_BALANCE}.
 */
public final class RetryBudget {

	/** The number of retries that each success adds. */
	public static final double RETRIES_PER_SUCCESS = 0.1;

	/** The maximum number of retries in the budget, which is also the initial number. */
	public static final double MAX_BALANCE = 10;

	private double balance = MAX_BALANCE;

	/** Adds to the budget after a success. */
	public void recordSuccess() {
		this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_SUCCESS);
	}

	/**
	 * Withdraws one retry from the budget.
	 * @return whether the retry is allowed
	 */
	public boolean tryWithdraw() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
