package org.wigeonmast.manifest.internal;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Utilities for hashing documents.
 * <p>
 * Thread safety: stateless.
 */
public final class Hashes {

	private Hashes() {
	}

	/**
	 * Returns the SHA-256 of a document.
	 * @param bytes the document
	 * @return the hash in lower-case hexadecimal
	 */
	public static String sha256(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException exception) {
			throw new IllegalStateException("SHA-256 is required of every Java platform", exception);
		}
	}

}
