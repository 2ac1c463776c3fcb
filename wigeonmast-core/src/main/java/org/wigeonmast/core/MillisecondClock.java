package org.wigeonmast.core;

import java.time.Instant;

/**
 * Clock with a resolution of one millisecond.
 * <p>
 * Thread safety: implementations can be used from any thread. Invariant:
 * {@link #milliseconds()} never decreases within one process.
 */
public interface MillisecondClock {

	/** Number of nanoseconds in a millisecond. */
	long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	/**
	 * Returns the monotonic time, which is unrelated to the time of day and advances
	 * while the process is paused.
	 * @return the time in milliseconds from an arbitrary origin
	 */
	long milliseconds();

	/**
	 * Returns the time of day; only audit entries and logs use it, because it can jump.
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
