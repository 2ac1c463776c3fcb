package org.wigeonmast.daemon.internal;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.daemon.DaemonEvent;

/**
 * The single thread on which all control state of a daemon is read and changed.
 * <p>
 * Thread safety: {@link #execute} and {@link #schedule} can be called from any thread;
 * all tasks run sequentially on the control thread. Invariant: a task that throws is
 * logged and does not stop later tasks.
 */
public final class ControlThread implements ControlLoop, AutoCloseable {

	private static final long CLOSE_TIMEOUT_MS = 1000;

	private final EventLog log = new EventLog(ControlThread.class);

	private final MillisecondClock clock;

	private final ScheduledThreadPoolExecutor executor;

	private volatile @Nullable Thread thread;

	/**
	 * Creates the thread.
	 * @param clock the clock
	 */
	public ControlThread(MillisecondClock clock) {
		this.clock = clock;
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, "control");
			thread.setDaemon(true);
			this.thread = thread;
			return thread;
		});
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
		this.executor.setRemoveOnCancelPolicy(true);
	}

	@Override
	public MillisecondClock clock() {
		return this.clock;
	}

	@Override
	public void schedule(long delayMs, Runnable task) {
		try {
			this.executor.schedule(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException exception) {
			this.log.log(DaemonEvent.CONTROL_TASK_REJECTED);
		}
	}

	@Override
	public void close() {
		this.executor.shutdown();
		if (Thread.currentThread().equals(this.thread)) {
			return;
		}
		try {
			this.executor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
		}
	}

	private void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error failure) {
			this.log.log(DaemonEvent.CONTROL_TASK_FAILED, failure);
		}
	}

}
