package org.wigeonmast.balance.internal;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;

/** Tests of {@link FleetLoad}. */
class FleetLoadTests {

	private final FleetLoad load = new FleetLoad();

	/**
	 * Guards against a daemon that receives two requests by chance, estimates the fleet
	 * to be at capacity and therefore sends requests to failing servers.
	 */
	@Test
	void ownRequestsAreAveragedWithThoseOfPeers() {
		for (int peer = 1; peer <= 9; peer++) {
			report(0, peer, 1);
		}
		Truth.assertThat(this.load.averageRate(0, BalanceFixtures.SERVICE, 11)).isWithin(0.001).of(2);
	}

	/**
	 * Guards against leaving a peer without requests of the service out of the average.
	 */
	@Test
	void peerWithoutReportedRateCountsAsZero() {
		report(0, 1, 4);
		Truth.assertThat(this.load.averageRate(0, new ServiceName("other"), 2)).isWithin(0.001).of(1);
	}

	/** Guards against counting the load of a peak that is over. */
	@Test
	void outdatedLoadIsIgnored() {
		report(0, 1, 100);
		Truth.assertThat(this.load.averageRate(10_000, BalanceFixtures.SERVICE, 2)).isWithin(0.001).of(2);
	}

	private void report(long now, int peer, double perSecond) {
		this.load.recordPeerLoad(now, new HostAddress("127.0.0." + peer, 7200),
				List.of(new ServiceLoad(BalanceFixtures.SERVICE, perSecond)));
	}

}
