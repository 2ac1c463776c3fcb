package org.wigeonmast.dispatch.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Component;

/**
 * Queue of the timers of one component, ordered by time.
 * <p>
 * Thread safety: none. Timers cannot be cancelled: the component must recognise and
 * ignore an obsolete timer when it is due.
 *
 * @param <K> the type of the objects that the timers belong to
 */
public final class TimerQueue<K> {

	private final PriorityQueue<Timer<K>> timers = new PriorityQueue<>(
			Comparator.comparingLong((Timer<K> timer) -> timer.timeMs).thenComparingLong((timer) -> timer.sequence));

	private long sequence;

	/**
	 * Adds a timer.
	 * @param timeMs the monotonic time in milliseconds
	 * @param key the object that it belongs to
	 */
	public void add(long timeMs, K key) {
		this.timers.add(new Timer<>(timeMs, this.sequence++, key));
	}

	/**
	 * Removes the next timer that is due.
	 * @param now the current monotonic time in milliseconds
	 * @return the object that it belongs to, or {@code null} if none is due
	 */
	public @Nullable K poll(long now) {
		Timer<K> timer = this.timers.peek();
		if (timer == null || timer.timeMs > now) {
			return null;
		}
		this.timers.poll();
		return timer.key;
	}

	/**
	 * Returns the time of the next timer.
	 * @return the monotonic time in milliseconds, or {@link Component#NO_TIMER}
	 */
	public long nextTimerMs() {
		Timer<K> timer = this.timers.peek();
		return (timer != null) ? timer.timeMs : Component.NO_TIMER;
	}

	private record Timer<K>(long timeMs, long sequence, K key) {
	}

}
