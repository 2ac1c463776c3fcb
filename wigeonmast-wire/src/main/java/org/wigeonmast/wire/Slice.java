package org.wigeonmast.wire;

import org.jspecify.annotations.Nullable;

/**
 * The slice to which a message between daemons belongs.
 * <p>
 * Thread safety: immutable. Invariant: a number is never given to another slice later.
 */
public enum Slice {

	/** Membership. */
	MEMBERSHIP(1),

	/** Manifest. */
	MANIFEST(2),

	/** Health and ejection permits. */
	HEALTH(3),

	/** Slots and idempotency keys. */
	DISPATCH(4),

	/** Limits. */
	LIMIT(5);

	private final int number;

	Slice(int number) {
		this.number = number;
	}

	/**
	 * Returns the number on the wire.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the slice of a number.
	 * @param number the number on the wire
	 * @return the slice, or {@code null} for one that only a newer release knows
	 */
	public static @Nullable Slice ofNumber(int number) {
		for (Slice slice : values()) {
			if (slice.number == number) {
				return slice;
			}
		}
		return null;
	}

}
