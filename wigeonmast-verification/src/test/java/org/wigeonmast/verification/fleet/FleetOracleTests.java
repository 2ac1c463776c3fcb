package org.wigeonmast.verification.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;

import static com.google.common.truth.Truth.assertThat;

/** Shows that the oracle reports each broken rule, and none in a healthy run. */
class FleetOracleTests {

	private static final DaemonId DAEMON = new DaemonId("daemon-0", 1);

	private final VirtualFleet fleet = started();

	/** Guards against a fleet in which nothing runs, so that the oracle has no work. */
	@Test
	void healthyFleetAnswersAllRequests() {
		for (int index = 0; index < 50; index++) {
			RequestId id = this.fleet.request(index % VirtualFleet.DAEMONS, false, index % 5 == 0);
			this.fleet.run(500);
			assertThat(this.fleet.oracle.outcome(id)).isEqualTo(new RequestOutcome.Answered(200));
		}
		this.fleet.publish();
		assertThat(this.fleet.settle()).isEmpty();
	}

	/** Guards against an oracle that misses a request that runs twice. */
	@Test
	void runTwiceIsReported() {
		this.fleet.faults.duplicateAttempts = true;
		this.fleet.request(0, false, false);
		this.fleet.run(3000);
		assertReported("is not idempotent and ran 2 times");
	}

	/** Guards against an oracle that misses a false refusal. */
	@Test
	void falseNotRunIsReported() {
		this.fleet.faults.falseNotRun = true;
		this.fleet.servers.forEach((server) -> server.faults().setSilent(true));
		this.fleet.request(0, false, false);
		this.fleet.run(5000);
		assertReported("told not run after it ran");
	}

	/** Guards against an oracle that misses a run after the refusal. */
	@Test
	void runAfterRefusalIsReported() {
		RequestId id = new RequestId("late");
		this.fleet.oracle.accepted(id, DAEMON, true, 1000);
		this.fleet.oracle.told(10, id, new RequestOutcome.NotRun("refused", 0));
		this.fleet.oracle.ran(id, "server-0");
		assertReported("told not run and ran later");
	}

	/** Guards against an oracle that misses a manifest that goes back. */
	@Test
	void versionGoingBackIsReported() {
		this.fleet.oracle.version(DAEMON, 5);
		this.fleet.oracle.version(DAEMON, 4);
		assertReported("went back from version 5 to 4");
	}

	/** Guards against an oracle that checks the floor for each daemon alone. */
	@Test
	void unionOfEjectionsBelowTheFloorIsReported() {
		this.fleet.oracle.ejections(
				Map.of(DAEMON, Set.of("server-0", "server-1"), new DaemonId("daemon-1", 2), Set.of("server-2")),
				VirtualFleet.SERVERS - VirtualFleet.FLOOR);
		assertReported("below the floor");
	}

	/** Guards against an oracle that misses new work at a leaving server. */
	@Test
	void workAtLeavingServerIsReported() {
		this.fleet.oracle.leavingSeen(1000, DAEMON, "server-0");
		this.fleet.oracle.attempt(3900, DAEMON, "server-0");
		assertThat(this.fleet.oracle.violations()).isEmpty();
		this.fleet.oracle.attempt(4100, DAEMON, "server-0");
		assertReported("new work to leaving server-0");
	}

	/** Guards against an oracle that misses requests that end late, never or cut. */
	@Test
	void missingEndIsReported() {
		this.fleet.oracle.accepted(new RequestId("open"), DAEMON, true, 1000);
		this.fleet.oracle.stopped(DAEMON);
		assertReported("cut by a planned stop");
		assertThat(this.fleet.oracle.finish(10_000)).contains("open never ended");
	}

	private static VirtualFleet started() {
		VirtualFleet fleet = new VirtualFleet(1);
		fleet.run(20_000);
		return fleet;
	}

	private void assertReported(String text) {
		List<String> violations = this.fleet.oracle.violations();
		assertThat(violations.stream().anyMatch((violation) -> violation.contains(text))).isTrue();
	}

}
