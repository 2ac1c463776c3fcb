package org.wigeonmast.balance.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The failures of a service's requests that this daemon observed or peers reported within
 * the last {@link #WINDOW_MS}.
 * <p>
 * Thread safety: none. Invariant: recording and counting both drop the failures that no
 * longer count, so that a service to which this daemon sends nothing uses no more memory.
 */
final class RecentFailures {

	/** Time in milliseconds for which a failure counts. */
	static final long WINDOW_MS = 2000;

	private final Deque<Long> times = new ArrayDeque<>();

	/**
	 * Records a failure.
	 * @param now the current monotonic time in milliseconds
	 */
	void record(long now) {
		dropOutdated(now);
		this.times.addLast(now);
	}

	/**
	 * Returns the number of failures that still count.
	 * @param now the current monotonic time in milliseconds
	 * @return the number
	 */
	int count(long now) {
		dropOutdated(now);
		return this.times.size();
	}

	private void dropOutdated(long now) {
		while (!this.times.isEmpty() && now - this.times.peekFirst() >= WINDOW_MS) {
			this.times.removeFirst();
		}
	}

}
