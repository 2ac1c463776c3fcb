package org.wigeonmast.manifest.follow;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.jspecify.annotations.Nullable;

/**
 * Delta compression of content against an earlier version, so that the encoded size of a
 * small change is about the size of the change.
 * <p>
 * Thread safety: stateless. Invariant: decoding produces at most the expected number of
 * bytes for any input.
 * <p>
 * Encoded content is a sequence of zlib streams of one chunk each. The preset dictionary
 * of a chunk is the range of the base around the same position, since the zlib window of
 * 32 KB is smaller than a large index.
 */
final class ContentCoder {

	private static final int CHUNK_BYTES = 16_384;

	/**
	 * Maximum offset between equal bytes of content and base that compression exploits.
	 */
	private static final int DICTIONARY_MARGIN_BYTES = 8192;

	private ContentCoder() {
	}

	/**
	 * Encodes content.
	 * @param bytes the content
	 * @param baseHash the hash of the base, empty for none
	 * @param base the base, or {@code null} for none
	 * @return the encoded content
	 */
	static Content encode(byte[] bytes, String baseHash, byte @Nullable [] base) {
		// BEST_SPEED because this runs on the control thread, which must not block for
		// long.
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			ByteArrayOutputStream encoded = new ByteArrayOutputStream();
			byte[] buffer = new byte[CHUNK_BYTES];
			for (int start = 0; start < bytes.length; start += CHUNK_BYTES) {
				deflater.reset();
				if (base != null) {
					deflater.setDictionary(dictionary(base, start));
				}
				deflater.setInput(bytes, start, Math.min(CHUNK_BYTES, bytes.length - start));
				deflater.finish();
				while (!deflater.finished()) {
					encoded.write(buffer, 0, deflater.deflate(buffer));
				}
			}
			return new Content(Content.Encoding.DEFLATED, (base != null) ? baseHash : "", encoded.toByteArray());
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Decodes content.
	 * @param content the encoded content
	 * @param base the base named by the content, or {@code null} for none
	 * @param maxBytes the maximum decoded size in bytes
	 * @return the decoded bytes, or {@code null} if the content is malformed or larger
	 */
	static byte @Nullable [] decode(Content content, byte @Nullable [] base, long maxBytes) {
		if (content.encoding() == Content.Encoding.PLAIN) {
			return (content.bytes().length <= maxBytes) ? content.bytes() : null;
		}
		ByteArrayOutputStream decoded = new ByteArrayOutputStream();
		int position = 0;
		while (position < content.bytes().length) {
			int encodedBytes = decodeChunk(content.bytes(), position, base, maxBytes, decoded);
			if (encodedBytes <= 0) {
				return null;
			}
			position += encodedBytes;
		}
		return decoded.toByteArray();
	}

	// Returns the number of encoded bytes of the chunk, or -1 if it is malformed or too
	// large.
	private static int decodeChunk(byte[] encoded, int position, byte @Nullable [] base, long maxBytes,
			ByteArrayOutputStream decoded) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(encoded, position, encoded.length - position);
			byte[] buffer = new byte[CHUNK_BYTES];
			int start = decoded.size();
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				decoded.write(buffer, 0, count);
				if (decoded.size() > maxBytes || decoded.size() - start > CHUNK_BYTES) {
					return -1;
				}
				if (inflater.needsDictionary() && base != null) {
					inflater.setDictionary(dictionary(base, start));
				}
				else if (count == 0 && !inflater.finished()) {
					return -1;
				}
			}
			return (int) inflater.getBytesRead();
		}
		catch (DataFormatException | IllegalArgumentException exception) {
			return -1;
		}
		finally {
			inflater.end();
		}
	}

	private static byte[] dictionary(byte[] base, int start) {
		int from = Math.min(Math.max(0, start - DICTIONARY_MARGIN_BYTES), base.length);
		return Arrays.copyOfRange(base, from, Math.min(base.length, start + CHUNK_BYTES + DICTIONARY_MARGIN_BYTES));
	}

}
