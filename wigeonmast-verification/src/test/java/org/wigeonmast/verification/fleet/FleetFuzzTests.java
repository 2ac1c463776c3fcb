package org.wigeonmast.verification.fleet;

import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Random requests, faults, stops, replacements and manifests against the oracle.
 * <p>
 * A property runs {@value #TRIES} tries whose failing cases shrink. A second test runs
 * tries with steps of its own from a fixed seed, by default {@value #TRIES};
 * {@code -Dwigeonmast.fuzz.tries=N} sets their number.
 */
class FleetFuzzTests {

	static final int TRIES = 30;

	private static final int LONGEST = 40;

	private static final long SETTLING = 20_000;

	/**
	 * Guards against any order of faults in which a guarantee to callers, the floor or
	 * the order of manifests breaks.
	 * @param seed the seed of the network and the components
	 * @param steps the steps
	 */
	@Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.BOUNDED, edgeCases = EdgeCasesMode.NONE)
	void guaranteesHoldUnderRandomFaults(@ForAll("seeds") long seed, @ForAll("steps") List<FleetStep> steps) {
		assertThat(run(seed, steps)).isEmpty();
	}

	/** Guards as above over as many further tries as the system property asks for. */
	@Test
	void guaranteesHoldOverManyTries() {
		int tries = Integer.getInteger("wigeonmast.fuzz.tries", TRIES);
		Random random = new Random(20_261_204);
		for (int number = 0; number < tries; number++) {
			List<FleetStep> chosen = random.ints(LONGEST, 0, Integer.MAX_VALUE)
				.mapToObj((bits) -> FleetStep.of(new Random(bits)))
				.toList();
			assertWithMessage("try %s with steps %s", number, chosen).that(run(number, chosen)).isEmpty();
		}
	}

	@Provide
	Arbitrary<Long> seeds() {
		return Arbitraries.longs().between(0, 1_000_000);
	}

	@Provide
	Arbitrary<List<FleetStep>> steps() {
		return Combinators
			.combine(Arbitraries.of(FleetStep.Kind.class), Arbitraries.integers().between(0, 11),
					Arbitraries.integers().between(0, 11), Arbitraries.of(FleetStep.PAUSES))
			.as(FleetStep::new)
			.list()
			.ofMinSize(1)
			.ofMaxSize(LONGEST)
			.withSizeDistribution(RandomDistribution.uniform());
	}

	static List<String> run(long seed, List<FleetStep> steps) {
		VirtualFleet fleet = new VirtualFleet(seed);
		fleet.run(SETTLING);
		steps.forEach((step) -> step.apply(fleet));
		return fleet.settle();
	}

}
