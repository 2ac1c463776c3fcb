package org.wigeonmast.manifest.follow;

import java.util.Arrays;

/**
 * The bytes of an index or a part on their way between daemons.
 * <p>
 * Thread safety: immutable; the array must not be changed.
 *
 * @param encoding how the bytes are encoded
 * @param base the hash of the content against which they are encoded, empty for none
 * @param bytes the encoded bytes
 */
public record Content(Encoding encoding, String base, byte[] bytes) {

	/**
	 * Creates content that is not encoded.
	 * @param bytes the bytes
	 * @return the content
	 */
	public static Content plain(byte[] bytes) {
		return new Content(Encoding.PLAIN, "", bytes);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Content content && this.encoding == content.encoding && this.base.equals(content.base)
				&& Arrays.equals(this.bytes, content.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	/**
	 * The encoding of content.
	 */
	public enum Encoding {

		/** The bytes as they are. */
		PLAIN,

		/** Compressed in the zlib format. */
		DEFLATED

	}

}
