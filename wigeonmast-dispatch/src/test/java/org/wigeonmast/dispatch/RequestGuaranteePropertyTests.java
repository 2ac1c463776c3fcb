package org.wigeonmast.dispatch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.RequestOutcome;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Property tests of the guarantees about requests under reordering, loss and repetition
 * of messages.
 */
class RequestGuaranteePropertyTests {

	/**
	 * Guards against requests that end twice or never, run twice, or are refused as not
	 * run although they ran, and against a key that is admitted twice by owners that
	 * disagree.
	 */
	@Property(tries = 400, seed = "4711")
	void eachRequestEndsOnceAndTruthfully(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
		AdversarialFleet fleet = new AdversarialFleet(seed);
		fleet.run();
		assertThat(fleet.ledger.finalViolations()).isEmpty();
		fleet.runsByKey.forEach((key, runs) -> assertWithMessage("runs of " + key).that(runs).isEqualTo(1));
		assertThat(fleet.outcomes.getOrDefault(RequestOutcome.Answered.class.getSimpleName(), 0)).isGreaterThan(0);
	}

	/**
	 * Guards against a fleet that meets its guarantees only because it never admits a
	 * possible duplicate.
	 */
	@Test
	void possibleDuplicatesRunWhenOwnersVouch() {
		int executed = 0;
		for (int seed = 0; seed < 50; seed++) {
			AdversarialFleet fleet = new AdversarialFleet(seed);
			fleet.run();
			executed += fleet.possibleDuplicatesRun;
		}
		assertThat(executed).isGreaterThan(10);
	}

}
