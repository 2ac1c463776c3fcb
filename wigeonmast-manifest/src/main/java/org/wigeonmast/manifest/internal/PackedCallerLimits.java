package org.wigeonmast.manifest.internal;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The rate limits of callers in one part, packed into arrays.
 * <p>
 * Thread safety: immutable once built. Memory: an entry takes eight bytes plus its
 * identifier in ASCII, whereas objects would take about 100 bytes each, 8 MB for 80,000
 * callers.
 */
final class PackedCallerLimits {

	private byte[] identifiers = new byte[0];

	private int[] endOffsets = new int[0];

	private int[] rates = new int[0];

	private int count;

	int count() {
		return this.count;
	}

	int rate(int index) {
		return this.rates[index];
	}

	String identifier(int index) {
		int start = startOffset(index);
		return new String(this.identifiers, start, this.endOffsets[index] - start, StandardCharsets.US_ASCII);
	}

	boolean matches(int index, String identifier) {
		int start = startOffset(index);
		if (this.endOffsets[index] - start != identifier.length()) {
			return false;
		}
		for (int i = 0; i < identifier.length(); i++) {
			if (this.identifiers[start + i] != identifier.charAt(i)) {
				return false;
			}
		}
		return true;
	}

	long hash(int index) {
		long hash = TextHash.EMPTY;
		for (int i = startOffset(index); i < this.endOffsets[index]; i++) {
			hash = TextHash.append(hash, this.identifiers[i]);
		}
		return hash;
	}

	void add(String identifier, int rate) {
		int start = startOffset(this.count);
		int end = start + identifier.length();
		if (this.count == this.endOffsets.length) {
			this.endOffsets = Arrays.copyOf(this.endOffsets, Math.max(16, this.count * 2));
			this.rates = Arrays.copyOf(this.rates, this.endOffsets.length);
		}
		if (end > this.identifiers.length) {
			this.identifiers = Arrays.copyOf(this.identifiers, Math.max(256, end * 2));
		}
		byte[] bytes = identifier.getBytes(StandardCharsets.US_ASCII);
		System.arraycopy(bytes, 0, this.identifiers, start, bytes.length);
		this.endOffsets[this.count] = end;
		this.rates[this.count] = rate;
		this.count++;
	}

	/**
	 * Trims the arrays to their used length.
	 */
	void trim() {
		this.identifiers = Arrays.copyOf(this.identifiers, startOffset(this.count));
		this.endOffsets = Arrays.copyOf(this.endOffsets, this.count);
		this.rates = Arrays.copyOf(this.rates, this.count);
	}

	private int startOffset(int index) {
		return (index == 0) ? 0 : this.endOffsets[index - 1];
	}

}
