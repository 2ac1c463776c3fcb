package org.wigeonmast.core;

import java.time.Instant;

/**
 * Source of time in milliseconds.
 * <p>
 * Thread safety: implementations can be used from any thread. Invariant:
 * {@link #milliseconds()} never decreases within one process.
 */
public interface MillisecondClock {

	/** Nanoseconds in a millisecond. */
	long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/**
	 * Returns the monotonic time, which is unrelated to the time of day and keeps running
	 * while the process is paused.
	 * @return the time in milliseconds from an arbitrary origin
	 */
	long milliseconds();

	/**
	 * Returns the time of day, for audit entries and logs only.
	 * @return the time of day
	 */
	Instant timeOfDay();

	/**
	 * Returns the clock of the operating system.
	 * @return the clock
	 */
	static MillisecondClock system() {
		return new SystemMillisecondClock();
	}

}
