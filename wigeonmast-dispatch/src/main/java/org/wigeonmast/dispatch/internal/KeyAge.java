package org.wigeonmast.dispatch.internal;

import java.util.UUID;

import org.wigeonmast.dispatch.RequestRegister;

/**
 * Derives the greatest possible age of an idempotency key.
 * <p>
 * Thread safety: stateless.
 */
final class KeyAge {

	/** Value for a time of day that is not known. */
	static final long UNKNOWN_TIME = -1;

	private static final int TIME_ORDERED = 7;

	private static final int TIME_SHIFT = 16;

	private KeyAge() {
	}

	/**
	 * Returns the greatest age of a key: for a UUID of version 7 by the time in it, with
	 * an allowance for the clock that made it, otherwise the lifetime of keys.
	 * @param key the key
	 * @param timeOfDay the time of day in milliseconds of the epoch, or
	 * {@link #UNKNOWN_TIME}
	 * @param keyLifetime the lifetime of keys in milliseconds
	 * @return the age in milliseconds, greater than 0
	 */
	static long greatest(String key, long timeOfDay, long keyLifetime) {
		if (timeOfDay == UNKNOWN_TIME) {
			return keyLifetime;
		}
		try {
			UUID uuid = UUID.fromString(key);
			long age = timeOfDay - (uuid.getMostSignificantBits() >>> TIME_SHIFT);
			if (uuid.version() == TIME_ORDERED && age >= -RequestRegister.CLOCK_ALLOWANCE) {
				return Math.max(0, age) + RequestRegister.CLOCK_ALLOWANCE;
			}
		}
		catch (IllegalArgumentException exception) {
			// Callers may use keys that are no UUID; their time is not known.
		}
		return keyLifetime;
	}

}
