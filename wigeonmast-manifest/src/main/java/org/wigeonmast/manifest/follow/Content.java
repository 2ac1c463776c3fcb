package org.wigeonmast.manifest.follow;

import java.util.Arrays;

/**
 * The encoded bytes of an index or a part in a message between daemons.
 * <p>
 * Thread safety: immutable; the array must not be changed.
 *
 * @param encoding the encoding of the bytes
 * @param base the hash of the content that serves as compression dictionary, empty for
 * none
 * @param bytes the encoded bytes
 */
public record Content(Encoding encoding, String base, byte[] bytes) {

	/**
	 * Creates content in plain encoding.
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

		/** Uncompressed bytes. */
		PLAIN,

		/** Compressed in the zlib format. */
		DEFLATED

	}

}
