package org.wigeonmast.core;

import java.time.Instant;

/**
 * Clock of the operating system.
 * <p>
 * Thread safety: immutable.
 */
final class SystemMillisecondClock implements MillisecondClock {

	@Override
	public long milliseconds() {
		return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
	}

	@Override
	public Instant timeOfDay() {
		return Instant.now();
	}

}
