package org.wigeonmast.wire;

import java.util.Arrays;

/**
 * The key that all daemons of a fleet share.
 * <p>
 * Thread safety: immutable. Invariant: {@link #toString()} does not show the key.
 */
public final class SharedKey {

	/** Least length in bytes. */
	public static final int MINIMUM_LENGTH = 16;

	private final byte[] bytes;

	/**
	 * Creates a key.
	 * @param bytes the key, at least {@link #MINIMUM_LENGTH} bytes
	 */
	public SharedKey(byte[] bytes) {
		if (bytes.length < MINIMUM_LENGTH) {
			throw new IllegalArgumentException(
					"The key has " + bytes.length + " bytes but needs at least " + MINIMUM_LENGTH);
		}
		this.bytes = bytes.clone();
	}

	/**
	 * Returns a copy of the key.
	 * @return the bytes
	 */
	public byte[] bytes() {
		return Arrays.copyOf(this.bytes, this.bytes.length);
	}

	@Override
	public String toString() {
		return "SharedKey[" + this.bytes.length + " bytes]";
	}

}
