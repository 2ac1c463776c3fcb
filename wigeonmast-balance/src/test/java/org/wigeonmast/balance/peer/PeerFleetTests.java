package org.wigeonmast.balance.peer;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of fleets of {@link PeerTable}s of several sizes. */
class PeerFleetTests {

	private static final long SEED = 21;

	private static final long MINUTE_MS = 60_000;

	/** Upper bound of the control traffic of a daemon in bytes per second. */
	private static final long MAX_BYTES_PER_SECOND = 15_000;

	// Guards against live daemons that are removed because a large fleet rarely mentions
	// them.
	@ParameterizedTest
	@ValueSource(ints = { 36, 141, 300 })
	void liveDaemonsStayInEveryTable(int daemons) {
		PeerFleetSimulation fleet = start(daemons, 0);
		fleet.runFor(10_000);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons);
		fleet.runFor(MINUTE_MS);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons);
		Truth.assertThat(fleet.liveRemoved()).isEqualTo(0);
		Truth.assertThat(fleet.bytes() / daemons / 70).isLessThan(MAX_BYTES_PER_SECOND);
	}

	// Guards against removing live daemons because single datagrams are lost.
	@ParameterizedTest
	@ValueSource(ints = { 36, 141 })
	void lostDatagramsRemoveNoLiveDaemon(int daemons) {
		PeerFleetSimulation fleet = start(daemons, 0.05);
		fleet.runFor(5 * MINUTE_MS);
		double memberMinutes = 5.0 * daemons * (daemons - 1);
		Truth.assertThat(fleet.liveRemoved() / memberMinutes).isAtMost(0.0001);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons);
	}

	// Guards against retry budgets that are divided by a fleet that no longer exists.
	@ParameterizedTest
	@ValueSource(ints = { 36, 300 })
	void deadDaemonIsGoneEverywhereInTime(int daemons) {
		PeerFleetSimulation fleet = start(daemons, 0);
		fleet.runFor(10_000);
		fleet.kill(20);
		fleet.runFor(PeerTable.LOST_AFTER_MS);
		Truth.assertThat(fleet.largestTable()).isEqualTo(daemons - 1);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons - 1);
	}

	// Guards against daemons that are unknown to a part of the fleet after their start.
	@ParameterizedTest
	@ValueSource(ints = { 36, 300 })
	void joinedDaemonIsKnownEverywhereInThreeSeconds(int daemons) {
		PeerFleetSimulation fleet = start(daemons, 0);
		fleet.runFor(10_000);
		fleet.start(daemons);
		fleet.runFor(3000);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons + 1);
	}

	// Guards against a daemon that left and returns through the list of another one.
	@Test
	void daemonThatLeftStaysAway() {
		PeerFleetSimulation fleet = start(141, 0);
		fleet.runFor(10_000);
		fleet.leave(20);
		fleet.kill(20);
		fleet.runFor(1000);
		Truth.assertThat(fleet.largestTable()).isEqualTo(140);
		fleet.runFor(MINUTE_MS);
		Truth.assertThat(fleet.largestTable()).isEqualTo(140);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(140);
	}

	// Guards against halves of a fleet that do not find each other again.
	@ParameterizedTest
	@ValueSource(ints = { 36, 300 })
	void partitionBetweenRegionsHeals(int daemons) {
		PeerFleetSimulation fleet = start(daemons, 0);
		fleet.runFor(10_000);
		fleet.setPartitioned(true);
		fleet.runFor(MINUTE_MS);
		Truth.assertThat(fleet.largestTable()).isEqualTo(daemons / 2);
		fleet.setPartitioned(false);
		fleet.runFor(5000);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(daemons);
	}

	// Guards against a paused daemon that removes its peers when it continues.
	@Test
	void daemonThatWasPausedRemovesNobody() {
		PeerFleetSimulation fleet = start(141, 0);
		fleet.runFor(10_000);
		fleet.pause(20);
		fleet.runFor(20_000);
		Truth.assertThat(fleet.liveRemoved()).isEqualTo(140);
		fleet.resume(20);
		fleet.runFor(5000);
		Truth.assertThat(fleet.liveRemoved()).isEqualTo(140);
		Truth.assertThat(fleet.smallestTable()).isEqualTo(141);
	}

	private static PeerFleetSimulation start(int daemons, double loss) {
		PeerFleetSimulation fleet = new PeerFleetSimulation(SEED, 2, loss);
		fleet.startAll(daemons);
		return fleet;
	}

}
