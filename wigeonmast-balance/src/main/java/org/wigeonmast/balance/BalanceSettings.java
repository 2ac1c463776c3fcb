package org.wigeonmast.balance;

/**
 * Settings of the balancing of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param retryBudgetRatio the retries of a service's requests that are allowed, as a
 * fraction of these requests
 * @param retryBudgetSlack the retries of a service's requests that are allowed in
 * addition in a window of some seconds, summed over the whole fleet
 * @param floorShare the minimum fraction of a service's healthy servers that stays in use
 */
public record BalanceSettings(double retryBudgetRatio, double retryBudgetSlack, double floorShare) {

	/** The default settings. */
	public static final BalanceSettings DEFAULTS = new BalanceSettings(0.2, 50, 0.7);

}
