package org.wigeonmast.core;

import java.security.MessageDigest;

/**
 * The key that the daemons of a fleet share.
 * <p>
 * Thread safety: immutable. Invariants: the key has at least {@link #MIN_LENGTH_BYTES}
 * bytes; {@link #toString()} does not reveal it.
 */
public final class SharedKey {

	/** Minimum length of a key: the output length of HMAC-SHA-256. */
	public static final int MIN_LENGTH_BYTES = 32;

	private final byte[] bytes;

	/**
	 * Creates a key.
	 * @param bytes the bytes of the key
	 * @throws IllegalArgumentException if the key is too short
	 */
	public SharedKey(byte[] bytes) {
		if (bytes.length < MIN_LENGTH_BYTES) {
			throw new IllegalArgumentException("A shared key needs at least " + MIN_LENGTH_BYTES + " bytes");
		}
		this.bytes = bytes.clone();
	}

	/**
	 * Returns the bytes of the key.
	 * @return a copy
	 */
	public byte[] bytes() {
		return this.bytes.clone();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof SharedKey key && MessageDigest.isEqual(this.bytes, key.bytes);
	}

	@Override
	public int hashCode() {
		return SharedKey.class.hashCode();
	}

	@Override
	public String toString() {
		return "(hidden)";
	}

}
