package org.wigeonmast.dispatch.internal;

/**
 * Allows retries as a share of recent successes, so that they cannot amplify an outage.
 * <p>
 * Thread safety: none. Invariant: over any time the retries are at most the given share
 * of the successes plus {@link #GREATEST_BALANCE}.
 */
public final class RetryBudget {

	/** Retries for each success. */
	public static final double SHARE = 0.1;

	/** The number of retries that can be saved up, which is also the balance at first. */
	public static final double GREATEST_BALANCE = 10;

	private double balance = GREATEST_BALANCE;

	/** Adds to the budget after a success. */
	public void succeeded() {
		this.balance = Math.min(GREATEST_BALANCE, this.balance + SHARE);
	}

	/**
	 * Takes one retry from the budget.
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
