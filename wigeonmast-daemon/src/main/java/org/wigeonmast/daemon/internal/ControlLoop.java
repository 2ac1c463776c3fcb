package org.wigeonmast.daemon.internal;

import java.util.concurrent.Executor;

import org.wigeonmast.core.MillisecondClock;

/**
 * Executor that runs the tasks on a daemon's control state sequentially: on a thread in a
 * daemon, in virtual time in tests.
 * <p>
 * Thread safety: usable from any thread. Invariant: tasks never overlap, and a task that
 * becomes due earlier runs earlier.
 */
public interface ControlLoop extends Executor {

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	MillisecondClock clock();

	/**
	 * Schedules a task.
	 * @param delayMs the delay in milliseconds
	 * @param task the task
	 */
	void schedule(long delayMs, Runnable task);

	@Override
	default void execute(Runnable task) {
		schedule(0, task);
	}

}
