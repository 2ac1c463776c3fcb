package org.wigeonmast.balance.internal;

import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceSettings;

/** Tests of {@link RetryBudgetShare}. */
class RetryBudgetShareTests {

	private static final BalanceSettings SETTINGS = new BalanceSettings(0.2, 58, 0.7);

	/** Guards against a fleet that exceeds its retry budget when all requests fail. */
	@Test
	void fleetStaysWithinTheBudgetWhenEachRequestIsRetried() {
		for (int daemons : new int[] { 3, 36, 300 }) {
			Random random = new Random(daemons);
			int requests = 0;
			int sends = 0;
			RetryBudgetShare[] fleet = new RetryBudgetShare[daemons];
			for (int i = 0; i < daemons; i++) {
				fleet[i] = new RetryBudgetShare(SETTINGS, daemons);
			}
			for (int i = 0; i < 2000; i++) {
				RetryBudgetShare daemon = fleet[random.nextInt(daemons)];
				daemon.recordRequest();
				requests++;
				for (int retry = 0; retry < 3; retry++) {
					sends += daemon.tryTake(random.nextDouble()) ? 1 : 0;
				}
			}
			Truth.assertThat((double) sends)
				.isAtMost(SETTINGS.retryBudgetRatio() * requests + SETTINGS.retryBudgetSlack());
		}
	}

	/** Guards against a daemon that may never retry because its share is below one. */
	@Test
	void shareBelowOneAllowsOccasionalRetries() {
		RetryBudgetShare budget = new RetryBudgetShare(SETTINGS, 3000);
		Random random = new Random(1);
		int sends = 0;
		for (int i = 0; i < 1000; i++) {
			budget.recordRequest();
			sends += budget.tryTake(random.nextDouble()) ? 1 : 0;
		}
		Truth.assertThat(sends).isAtLeast(50);
	}

}
