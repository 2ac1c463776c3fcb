package org.wigeonmast.daemon.internal;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.MillisecondClock;

import static com.google.common.truth.Truth.assertThat;

/** Tests of {@link ControlThread}. */
class ControlThreadTests {

	// Guards against one unexpected error that ends all control of a daemon.
	@Test
	void laterTasksRunAfterAnUnexpectedError() throws Exception {
		try (ControlThread control = new ControlThread(MillisecondClock.system())) {
			CountDownLatch later = new CountDownLatch(2);
			control.execute(() -> {
				throw new StackOverflowError("unexpected");
			});
			control.execute(later::countDown);
			control.execute(() -> {
				throw new IllegalStateException("unexpected");
			});
			control.schedule(1, later::countDown);
			assertThat(later.await(10, TimeUnit.SECONDS)).isTrue();
		}
	}

}
