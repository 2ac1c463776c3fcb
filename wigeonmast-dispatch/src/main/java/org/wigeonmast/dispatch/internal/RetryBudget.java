package org.wigeonmast.dispatch.internal;

/**
 * Retry budget that allows retries in proportion to recent successes, so that retries
 * cannot amplify an outage.
 * <p>
 * Thread safety: none. Invariant: in any interval the number of retries is at most
 * {@link #SHARE} times the number of successes plus {@link #GREATEST_BALANCE}.
 */
public final class RetryBudget {

	/** The number of retries that each success adds. */
	public static final double SHARE = 0.1;

	/** The maximum number of retries in the budget, which is also the initial number. */
	public static final double GREATEST_BALANCE = 10;

	private double balance = GREATEST_BALANCE;

	/** Adds to the budget after a success. */
	public void succeeded() {
		this.balance = Math.min(GREATEST_BALANCE, this.balance + SHARE);
	}

	/**
	 * Withdraws one retry from the budget.
	 * @return whether the retry is allowed
	 */
	public boolean take() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
