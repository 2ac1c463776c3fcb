package org.wigeonmast.balance;

/**
 * Settings of the balance of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param retryRatio the second sends that a service may get, as a share of its requests
 * @param retrySlack the second sends that a service may get besides in a window of some
 * seconds, summed over the whole fleet
 * @param servedShare the smallest share of a service's sound servers that stays in use
 */
public record BalanceSettings(double retryRatio, double retrySlack, double servedShare) {

	/** Settings for a fleet whose operators state none. */
	public static final BalanceSettings DEFAULTS = new BalanceSettings(0.2, 50, 0.7);

}
