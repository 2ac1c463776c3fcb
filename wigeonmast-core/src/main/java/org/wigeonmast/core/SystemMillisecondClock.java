package org.wigeonmast.core;

import java.time.Instant;

/**
 * Clock that is based on the operating system's clocks.
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
