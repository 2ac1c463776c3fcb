package org.wigeonmast.balance;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests of what callers get from a large fleet whose servers fail in episodes. */
class LargeFleetTests {

	private static final long SEED = 7;

	private static final double REQUESTS_PER_SECOND = 362;

	/** Share of requests that fail by chance at servers that are not in an episode. */
	private static final double ERROR_SHARE = 0.012;

	/** Two failures for each of the 12 episodes that begin in a second. */
	private static final double MAX_FAILED_SHARE = ERROR_SHARE + 2 * 12 / REQUESTS_PER_SECOND;

	private static FailingFleetSimulation fleet;

	@BeforeAll
	static void play() {
		fleet = new FailingFleetSimulation(SEED, FleetShape.LARGE, REQUESTS_PER_SECOND);
		fleet.run();
	}

	// Guards against each daemon meeting the failures that others have met already.
	@Test
	void anEpisodeFailsAtMostTwoRequests() {
		Truth.assertThat(fleet.failedShare()).isLessThan(MAX_FAILED_SHARE);
	}

	// Guards against requests that wait at a server while others have free slots.
	@Test
	void servedRequestsMeetTheTargetLatency() {
		Truth.assertThat(fleet.shareServedAfter(FleetShape.LARGE.targetMs())).isLessThan(0.03);
	}

	// Guards against more datagrams for observations than a daemon's share of the control
	// traffic allows: 15 KB/s, of which an observation takes about 70 bytes.
	@Test
	void observationsStayWithinTheControlTraffic() {
		double perDaemonAndSecond = fleet.deliveredObservations() / (double) FleetShape.LARGE.daemons() / 60;
		Truth.assertThat(perDaemonAndSecond).isLessThan(50);
	}

}
