package org.wigeonmast.balance.internal;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Tests of {@link FailureSpread}. */
class FailureSpreadTests {

	// Guards against spreading the requests of a large service of which few fail.
	@Test
	void fewFailuresSpreadNothing() {
		Truth.assertThat(FailureSpread.share(60, 362, 155)).isEqualTo(0);
		Truth.assertThat(FailureSpread.share(3, 10, 8)).isEqualTo(0);
	}

	// Guards against a spread that begins only when a tenth of the requests has failed.
	@Test
	void spreadBeginsBeforeATenthFails() {
		Truth.assertThat(FailureSpread.share(70, 362, 155)).isWithin(0.01).of(155 / 362.0);
		Truth.assertThat(FailureSpread.share(8, 54, 16)).isWithin(0.01).of(16 / 54.0);
	}

	// Guards against a share above one for services with fewer requests than servers.
	@Test
	void shareIsAtMostOne() {
		Truth.assertThat(FailureSpread.share(10, 20, 100)).isEqualTo(1);
	}

}
