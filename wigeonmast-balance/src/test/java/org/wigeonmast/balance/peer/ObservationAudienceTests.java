package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/** Tests of {@link ObservationAudience}. */
class ObservationAudienceTests {

	private static final FailureDomain HOME = BalanceFixtures.HOME;

	private static final FailureDomain NEAR = BalanceFixtures.NEAR;

	private static final FailureDomain FAR = BalanceFixtures.FAR;

	private final List<Peer> peers = new ArrayList<>();

	// Guards against withholding failures from the daemons of a small region.
	@Test
	void smallFleetTellsTheWholeRegion() {
		addPeers(HOME, 9);
		addPeers(NEAR, 9);
		addPeers(FAR, 9);
		Truth.assertThat(ObservationAudience.select(HOME, HOME, this.peers)).hasSize(18);
		Truth.assertThat(ObservationAudience.select(HOME, FAR, this.peers)).hasSize(27);
	}

	// Guards against datagrams that grow with the size of the whole fleet.
	@Test
	void largeFleetTellsTheDomainsOfReporterAndServer() {
		addPeers(HOME, 200);
		addPeers(NEAR, 200);
		addPeers(FAR, 200);
		Truth.assertThat(ObservationAudience.select(HOME, HOME, this.peers)).hasSize(200);
		Truth.assertThat(ObservationAudience.select(HOME, NEAR, this.peers)).hasSize(400);
	}

	private void addPeers(FailureDomain domain, int count) {
		for (int i = 0; i < count; i++) {
			this.peers.add(new Peer(new HostAddress("127.0.0.1", 1000 + this.peers.size()), domain));
		}
	}

}
