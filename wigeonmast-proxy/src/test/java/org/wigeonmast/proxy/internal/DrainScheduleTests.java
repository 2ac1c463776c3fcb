package org.wigeonmast.proxy.internal;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests of {@link DrainSchedule}. */
class DrainScheduleTests {

	private static final long START = 100_000;

	private static final DrainSchedule LIMITED = new DrainSchedule(START, 3000, 5200);

	// Guards against passing on a request that the end of the process cuts off.
	@Test
	void requestIsAdmittedIfItsDeadlinePassesBeforeTheLastAnswers() {
		assertThat(LIMITED.admits(START + 4000, START + 5000, false)).isTrue();
		assertThat(LIMITED.admits(START + 4000, START + 5001, false)).isFalse();
		assertThat(LIMITED.admits(START + 4000, START + 5001, true)).isFalse();
	}

	// Guards against refusing everything from the start of a stop where the timeouts of
	// routes are longer than the stop.
	@Test
	void idempotentRequestIsAdmittedEarlyWhateverItsDeadline() {
		assertThat(LIMITED.admits(START + 2599, START + 60_000, true)).isTrue();
		assertThat(LIMITED.admits(START + 2600, START + 60_000, true)).isFalse();
		assertThat(LIMITED.admits(START, START + 60_000, false)).isFalse();
	}

	// Guards against requests that a long stop passes on late and then cuts off.
	@Test
	void idempotentRequestIsAdmittedForThreeSecondsOfALongStop() {
		DrainSchedule longStop = new DrainSchedule(START, 3000, 29_200);
		assertThat(longStop.admits(START + 2999, START + 60_000, true)).isTrue();
		assertThat(longStop.admits(START + 3000, START + 60_000, true)).isFalse();
	}

	// Guards against refusals by a daemon that waits for all its requests.
	@Test
	void drainWithoutLimitAdmitsAll() {
		DrainSchedule unlimited = new DrainSchedule(START, 0, DrainSchedule.NO_LIMIT);
		assertThat(unlimited.admits(START + 100_000, Long.MAX_VALUE, false)).isTrue();
	}

	// Guards against a listener that closes while the load balancer still opens
	// connections, or that stays open for ever because it does.
	@Test
	void listenerClosesOnceNoConnectionArrivesAndAtTheLatestBeforeTheEnd() {
		assertThat(LIMITED.endsAccepting(START + 2999, START)).isFalse();
		assertThat(LIMITED.endsAccepting(START + 3000, START)).isTrue();
		assertThat(LIMITED.endsAccepting(START + 3000, START + 2701)).isFalse();
		assertThat(LIMITED.endsAccepting(START + 4999, START + 4999)).isFalse();
		assertThat(LIMITED.endsAccepting(START + 5000, START + 5000)).isTrue();
		assertThat(new DrainSchedule(START, 3000, 1000).endsAccepting(START + 800, START + 800)).isTrue();
	}

}
