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

	private static final int TIME_ORDERED = 7;

	private static final int TIME_SHIFT = 16;

	private KeyAge() {
	}

	/**
	 * Returns the maximum age of a key: for a UUID of version 7 the age of its timestamp
	 * plus an allowance for the skew of the clock that created it, otherwise the key
	 * lifetime.
	 * @param key the key
	 * @param timeOfDay the time of day in milliseconds since the epoch, or
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
			if (uuid.version() == TIME_ORDERED && age >= -IdempotencyKeyRegister.CLOCK_ALLOWANCE) {
				return Math.max(0, age) + IdempotencyKeyRegister.CLOCK_ALLOWANCE;
			}
		}
		catch (IllegalArgumentException exception) {
			// Keys need not be UUIDs; other keys contain no timestamp.
		}
		return keyLifetime;
	}

}
