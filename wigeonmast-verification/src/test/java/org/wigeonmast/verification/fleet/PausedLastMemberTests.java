package org.wigeonmast.verification.fleet;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Reduced from a case of {@link FleetFuzzTests}. */
class PausedLastMemberTests {

	/**
	 * Guards against a daemon that reports its pause again for each message until its
	 * next tick: without peers to ask, readiness and pause report each other until the
	 * stack overflows.
	 */
	@Test
	void lastMemberResumesAfterPause() {
		VirtualFleet fleet = new VirtualFleet(1);
		fleet.run(20_000);
		fleet.crash(0);
		fleet.run(6200);
		// The farewell of the other daemon waits for the paused one.
		fleet.stop(2);
		fleet.pause(1);
		fleet.run(5000);
		assertThat(fleet.settle()).isEmpty();
	}

}
