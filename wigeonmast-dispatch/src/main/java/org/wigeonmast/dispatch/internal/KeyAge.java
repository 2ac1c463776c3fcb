package org.wigeonmast.dispatch.internal;

import java.util.UUID;

import org.wigeonmast.dispatch.IdempotencyKeyRegister;

/**
 * Calculation of the maximum possible age of an idempotency key.
 * <p>
 * Thread safety: stateless.
 */
final class KeyAge {

	/** Value for an unknown time of day. */
	static final long UNKNOWN_TIME = -1;

	private static final int TIME_ORDERED_UUID_VERSION = 7;

	private static final int TIMESTAMP_SHIFT_BITS = 16;

	private KeyAge() {
	}

	/**
	 * Returns the maximum age of a key: for a UUID of version 7 the age of its timestamp
	 * plus an allowance for the skew of the clock that created it, otherwise the key
	 * lifetime.
	 * @param key the key
	 * @param timeOfDayMs the time of day in milliseconds since the epoch, or
	 * {@link #UNKNOWN_TIME}
	 * @param keyLifetimeMs the lifetime of keys in milliseconds
	 * @return the age in milliseconds, greater than 0
	 */
	static long maxAgeMs(String key, long timeOfDayMs, long keyLifetimeMs) {
		if (timeOfDayMs == UNKNOWN_TIME) {
			return keyLifetimeMs;
		}
		try {
			UUID uuid = UUID.fromString(key);
			long ageMs = timeOfDayMs - (uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS);
			if (uuid.version() == TIME_ORDERED_UUID_VERSION
					&& ageMs >= -IdempotencyKeyRegister.CLOCK_SKEW_ALLOWANCE_MS) {
				return Math.max(0, ageMs) + IdempotencyKeyRegister.CLOCK_SKEW_ALLOWANCE_MS;
			}
		}
		catch (IllegalArgumentException exception) {
			// Keys need not be UUIDs; other keys contain no timestamp.
		}
		return keyLifetimeMs;
	}

}
