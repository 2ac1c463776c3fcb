package org.wigeonmast.manifest.internal;

/**
 * A hash function for strings that can be computed incrementally.
 * <p>
 * Thread safety: stateless.
 */
final class TextHash {

	/** Hash of the empty string. */
	static final long EMPTY = 0;

	/**
	 * Fractional part of the golden ratio times 2 to the power of 64, an odd number with
	 * well-distributed bits.
	 */
	private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

	private TextHash() {
	}

	static long append(long hash, int character) {
		return hash * MULTIPLIER + character;
	}

	static long of(String text) {
		long hash = EMPTY;
		for (int i = 0; i < text.length(); i++) {
			hash = append(hash, text.charAt(i));
		}
		return hash;
	}

	/**
	 * Returns the index at which the search for a hash starts in an open-addressing
	 * table.
	 * @param hash the hash
	 * @param bits the binary logarithm of the size of the table, 1 to 31
	 * @return the index
	 */
	static int slot(long hash, int bits) {
		return (int) (((hash ^ hash >>> Integer.SIZE) * MULTIPLIER) >>> (Long.SIZE - bits));
	}

	/**
	 * Returns the binary logarithm of the size of a table that is at most half full.
	 * @param count the number of entries
	 * @return the number of bits, at least 1
	 */
	static int bits(int count) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, count * 2 - 1));
	}

}
