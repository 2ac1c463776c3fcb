package org.wigeonmast.balance.internal;

import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceSettings;

/** Tests of {@link RetryAllowance}. */
class RetryAllowanceTests {

	private static final BalanceSettings SETTINGS = new BalanceSettings(0.2, 58, 0.7);

	/** Guards against a fleet that exceeds its retry budget when all requests fail. */
	@Test
	void fleetKeepsToTheWholeWhenEachRequestWantsMore() {
		for (int daemons : new int[] { 3, 36, 300 }) {
			Random random = new Random(daemons);
			int requests = 0;
			int sends = 0;
			RetryAllowance[] fleet = new RetryAllowance[daemons];
			for (int i = 0; i < daemons; i++) {
				fleet[i] = new RetryAllowance(SETTINGS, daemons);
			}
			for (int i = 0; i < 2000; i++) {
				RetryAllowance daemon = fleet[random.nextInt(daemons)];
				daemon.requestAccepted();
				requests++;
				for (int wish = 0; wish < 3; wish++) {
					sends += daemon.take(random.nextDouble()) ? 1 : 0;
				}
			}
			Truth.assertThat((double) sends).isAtMost(SETTINGS.retryRatio() * requests + SETTINGS.retrySlack());
		}
	}

	/** Guards against a daemon that may never retry because its share is below one. */
	@Test
	void smallSharesAreUsedNowAndThen() {
		RetryAllowance allowance = new RetryAllowance(SETTINGS, 3000);
		Random random = new Random(1);
		int sends = 0;
		for (int i = 0; i < 1000; i++) {
			allowance.requestAccepted();
			sends += allowance.take(random.nextDouble()) ? 1 : 0;
		}
		Truth.assertThat(sends).isAtLeast(50);
	}

}
