package org.wigeonmast.health;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class EjectionPermitsTests {

	private static final int PERMIT_COUNT = PermitSimulation.SERVERS - PermitSimulation.FLOOR;

	private static final long DURATION_MS = 40_000;

	private static final int SEEDS = 400;

	/**
	 * Guards against ejections by several owners that together bring a service below its
	 * floor.
	 */
	@Property(tries = 400, seed = "7311")
	void floorHoldsOverAllDaemons(@ForAll long seed) {
		PermitSimulation simulation = new PermitSimulation(seed, PermitSimulation.Fault.NONE);
		assertThat(simulation.run(DURATION_MS)).isAtMost(PERMIT_COUNT);
		assertThat(simulation.belowFloor()).isFalse();
	}

	/**
	 * Guards against a simulation in which the floor holds only because too little is
	 * ejected.
	 */
	@Test
	void allPermitsAreUsed() {
		int reached = 0;
		for (long seed = 0; seed < 20; seed++) {
			reached += (new PermitSimulation(seed, PermitSimulation.Fault.NONE).run(DURATION_MS) == PERMIT_COUNT) ? 1
					: 0;
		}
		assertThat(reached).isAtLeast(15);
	}

	/** Guards against a simulation that does not detect a broken rule. */
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void brokenRuleIsDetected(PermitSimulation.Fault fault) {
		boolean detected = false;
		for (long seed = 0; seed < SEEDS && !detected; seed++) {
			PermitSimulation simulation = new PermitSimulation(seed, fault);
			detected = simulation.run(DURATION_MS) > PERMIT_COUNT;
			assertThat(simulation.belowFloor()).isFalse();
		}
		assertThat(detected).isTrue();
	}

}
