package org.wigeonmast.manifest.follow;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 in the form that the index uses.
 * <p>
 * Thread safety: stateless.
 */
final class ContentHash {

	private ContentHash() {
	}

	static String of(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException exception) {
			throw new IllegalStateException("Every Java platform has SHA-256", exception);
		}
	}

}
