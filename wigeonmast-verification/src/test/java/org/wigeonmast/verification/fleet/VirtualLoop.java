package org.wigeonmast.verification.fleet;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.daemon.internal.ControlLoop;
import org.wigeonmast.testing.EventQueue;

/**
 * The control loop of a daemon in virtual time, which can be paused and ended.
 * <p>
 * Thread safety: none. Invariant: tasks that become due during a pause run in order when
 * it ends; no task runs after {@link #end()}. A loop that runs too many tasks without any
 * time passing is reported, and time passes from then on so that the run ends.
 */
final class VirtualLoop implements ControlLoop {

	/** Number of tasks at one time from which on timers spin. */
	private static final int SPINNING = 2000;

	private final List<Runnable> held = new ArrayList<>();

	private final EventQueue queue;

	private final Runnable spinning;

	private long instant;

	private int tasks;

	private boolean paused;

	private boolean ended;

	VirtualLoop(EventQueue queue, Runnable spinning) {
		this.queue = queue;
		this.spinning = spinning;
	}

	@Override
	public MillisecondClock clock() {
		return this.queue;
	}

	@Override
	public void schedule(long delay, Runnable task) {
		long least = isSpinning() ? 1 : 0;
		this.queue.schedule(Math.max(least, delay) * EventQueue.MICROSECONDS_PER_MILLISECOND, () -> run(task));
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		List<Runnable> due = new ArrayList<>(this.held);
		this.held.clear();
		due.forEach(this::run);
	}

	boolean isPaused() {
		return this.paused;
	}

	void end() {
		this.ended = true;
	}

	private void run(Runnable task) {
		if (this.ended) {
			return;
		}
		if (this.paused) {
			this.held.add(task);
		}
		else {
			count();
			task.run();
		}
	}

	private boolean isSpinning() {
		return this.instant == this.queue.microseconds() && this.tasks >= SPINNING;
	}

	private void count() {
		if (this.instant != this.queue.microseconds()) {
			this.instant = this.queue.microseconds();
			this.tasks = 0;
		}
		this.tasks++;
		if (this.tasks == SPINNING && this.held.isEmpty()) {
			this.spinning.run();
		}
	}

}
