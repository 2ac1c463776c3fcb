package org.wigeonmast.wire;

import org.jspecify.annotations.Nullable;

/**
 * The slice, or functional area, to which a message between daemons belongs.
 * <p>
 * Thread safety: immutable. Invariant: a number is never reused for another slice.
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
	 * Returns the slice with a number.
	 * @param number the number on the wire
	 * @return the slice, or {@code null} if this release does not know the number
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
