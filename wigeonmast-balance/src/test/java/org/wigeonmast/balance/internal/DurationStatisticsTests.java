package org.wigeonmast.balance.internal;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Tests of {@link DurationStatistics}. */
class DurationStatisticsTests {

	// Guards against suspecting healthy servers because the work of requests varies.
	@Test
	void requestsOfVariedDurationAreOverdueLater() {
		DurationStatistics even = new DurationStatistics();
		DurationStatistics varied = new DurationStatistics();
		for (int i = 0; i < 100; i++) {
			even.record(200);
			varied.record((i % 4 == 0) ? 500 : 100);
		}
		Truth.assertThat(even.averageMs()).isWithin(1).of(200);
		Truth.assertThat(even.overdueAfterMs()).isIn(Range.closed(430L, 450L));
		Truth.assertThat(varied.overdueAfterMs()).isGreaterThan(3 * (long) varied.averageMs());
	}

}
