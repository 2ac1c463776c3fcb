package org.wigeonmast.daemon.internal;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.MillisecondClock;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ComponentDriver}.
 */
class ComponentDriverTests {

	// Guards against a component that is never ticked because its first timer,
	// Long.MIN_VALUE, overflows in the calculation of the delay.
	@Test
	void timerAtTheEarliestTimeIsDueAtOnce() throws InterruptedException {
		CountDownLatch ticked = new CountDownLatch(1);
		try (ControlThread control = new ControlThread(MillisecondClock.system())) {
			ComponentDriver<String, String> driver = new ComponentDriver<>(control, new Ticking(ticked), (effect) -> {
			});
			control.execute(driver::start);
			assertThat(ticked.await(10, TimeUnit.SECONDS)).isTrue();
		}
	}

	private static final class Ticking implements Component<String, String> {

		private final CountDownLatch ticked;

		private long next = Long.MIN_VALUE;

		private Ticking(CountDownLatch ticked) {
			this.ticked = ticked;
		}

		@Override
		public List<String> handle(long now, String message) {
			return List.of();
		}

		@Override
		public List<String> tick(long now) {
			this.next = NO_TIMER;
			this.ticked.countDown();
			return List.of();
		}

		@Override
		public long nextTick() {
			return this.next;
		}

	}

}
