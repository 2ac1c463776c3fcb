package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests of how many servers a fleet uses while some of them fail. */
class ServersInUseTests {

	private static final int SEEDS = 100;

	private static final double REQUESTS_PER_SECOND = 54;

	private static final double FLOOR_SHARE = 0.7;

	// Guards against sound servers that get no requests while a tenth of them fails.
	@Test
	@Tag("known-red")
	void soundServersStayInUseWhileRequestsFail() {
		List<Double> shares = new ArrayList<>();
		for (int seed = 0; seed < SEEDS; seed++) {
			FailingFleetSimulation fleet = new FailingFleetSimulation(seed, FleetShape.SMALL, REQUESTS_PER_SECOND);
			fleet.run();
			shares.addAll(fleet.sharesInUseWhileRequestsFail());
		}
		long below = shares.stream().filter((share) -> share < FLOOR_SHARE).count();
		Truth.assertThat(shares.size()).isGreaterThan(100);
		Truth.assertThat(below).isEqualTo(0);
	}

}
