package org.wigeonmast.testing;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import org.wigeonmast.core.MillisecondClock;

/**
 * Event queue of a simulation in virtual time with microsecond resolution.
 * <p>
 * Thread safety: none. Invariants: virtual time never decreases; events of the same time
 * run in the order in which they were scheduled, so a simulation depends only on its
 * seed.
 */
public final class EventQueue implements MillisecondClock {

	/** Microseconds in a millisecond. */
	public static final long MICROSECONDS_PER_MILLISECOND = 1000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeMicros).thenComparingLong(Event::sequence));

	private long nowMicros;

	private long sequence;

	/**
	 * Returns the virtual time.
	 * @return the time in microseconds from the start of the run
	 */
	public long microseconds() {
		return this.nowMicros;
	}

	@Override
	public long milliseconds() {
		return this.nowMicros / MICROSECONDS_PER_MILLISECOND;
	}

	@Override
	public Instant timeOfDay() {
		return Instant.ofEpochMilli(milliseconds());
	}

	/**
	 * Schedules an action.
	 * @param delayMicros the delay in microseconds, not negative
	 * @param action the action
	 */
	public void schedule(long delayMicros, Runnable action) {
		if (delayMicros < 0) {
			throw new IllegalArgumentException(
					"The delay is " + delayMicros + " microseconds but must not be negative");
		}
		this.events.add(new Event(this.nowMicros + delayMicros, this.sequence++, action));
	}

	/**
	 * Runs all events up to and including the given time and advances the time to it.
	 * @param timeMicros the virtual time in microseconds
	 */
	public void runUntil(long timeMicros) {
		Event next = this.events.peek();
		while (next != null && next.timeMicros <= timeMicros) {
			this.events.poll();
			this.nowMicros = next.timeMicros;
			next.action.run();
			next = this.events.peek();
		}
		this.nowMicros = Math.max(this.nowMicros, timeMicros);
	}

	private record Event(long timeMicros, long sequence, Runnable action) {
	}

}
