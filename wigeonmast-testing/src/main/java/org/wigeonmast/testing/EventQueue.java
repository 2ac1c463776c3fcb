package org.wigeonmast.testing;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.wigeonmast.core.MillisecondClock;

/**
 * Event queue in virtual time with microsecond resolution.
 * <p>
 * Thread safety: none. Invariants: virtual time never decreases; events of the same time
 * run in the order in which they were scheduled, so a run depends on its seed only.
 */
public final class EventQueue implements MillisecondClock {

	/** Microseconds in a millisecond. */
	public static final long MICROSECONDS_PER_MILLISECOND = 1000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private long now;

	private long sequence;

	/**
	 * Returns the virtual time.
	 * @return the time in microseconds from the start of the run
	 */
	public long microseconds() {
		return this.now;
	}

	@Override
	public long milliseconds() {
		return this.now / MICROSECONDS_PER_MILLISECOND;
	}

	@Override
	public Instant timeOfDay() {
		return Instant.ofEpochMilli(milliseconds());
	}

	/**
	 * Schedules an action.
	 * @param delay the delay from now in microseconds, not negative
	 * @param action the action
	 */
	public void schedule(long delay, Runnable action) {
		if (delay < 0) {
			throw new IllegalArgumentException("The delay is " + delay + " microseconds but must not be negative");
		}
		this.events.add(new Event(this.now + delay, this.sequence++, action));
	}

	/**
	 * Runs all events up to and including the given time and advances the time to it.
	 * @param time the virtual time in microseconds
	 */
	public void runUntil(long time) {
		Event next = this.events.peek();
		while (next != null && next.time <= time) {
			this.events.poll();
			this.now = next.time;
			next.action.run();
			next = this.events.peek();
		}
		this.now = Math.max(this.now, time);
	}

	private record Event(long time, long sequence, Runnable action) {
	}

}
