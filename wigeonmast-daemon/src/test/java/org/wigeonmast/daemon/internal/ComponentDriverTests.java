package org.wigeonmast.daemon.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
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

	// Guards against a timer that is late because the process stood still and that
	// decides
	// without the messages that arrived meanwhile.
	@Test
	void lateTimerRunsAfterMessagesThatArrivedDuringAStandstill() {
		FakeControlLoop control = new FakeControlLoop();
		List<String> inputs = new ArrayList<>();
		ComponentDriver<String, String> driver = new ComponentDriver<>(control, new Recording(inputs, 100),
				(effect) -> {
				});
		driver.start();
		control.now = 600;
		control.runDue();
		control.execute(() -> driver.handle("answer"));
		control.runDue();
		assertThat(inputs).containsExactly("answer");
		control.now = 700;
		control.runDue();
		assertThat(inputs).containsExactly("answer", "tick").inOrder();
	}

	// Guards against a delay of timers that are not late.
	@Test
	void timerThatIsDueRunsAtOnce() {
		FakeControlLoop control = new FakeControlLoop();
		List<String> inputs = new ArrayList<>();
		new ComponentDriver<>(control, new Recording(inputs, 100), (effect) -> {
		}).start();
		control.now = 110;
		control.runDue();
		assertThat(inputs).containsExactly("tick");
	}

	/** Control loop in virtual time. */
	private static final class FakeControlLoop implements ControlLoop {

		private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::dueAt));

		private long now;

		@Override
		public MillisecondClock clock() {
			return new MillisecondClock() {

				@Override
				public long milliseconds() {
					return FakeControlLoop.this.now;
				}

				@Override
				public Instant timeOfDay() {
					return Instant.EPOCH;
				}

			};
		}

		@Override
		public void schedule(long delayMs, Runnable task) {
			this.tasks.add(new Task(this.now + delayMs, task));
		}

		private void runDue() {
			while (!this.tasks.isEmpty() && this.tasks.peek().dueAt() <= this.now) {
				this.tasks.remove().action().run();
			}
		}

		private record Task(long dueAt, Runnable action) {
		}

	}

	/** Component with one timer, which records its inputs. */
	private static final class Recording implements Component<String, String> {

		private final List<String> inputs;

		private long next;

		private Recording(List<String> inputs, long next) {
			this.inputs = inputs;
			this.next = next;
		}

		@Override
		public List<String> handle(long now, String message) {
			this.inputs.add(message);
			return List.of();
		}

		@Override
		public List<String> tick(long now) {
			this.next = NO_TIMER;
			this.inputs.add("tick");
			return List.of();
		}

		@Override
		public long nextTick() {
			return this.next;
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
