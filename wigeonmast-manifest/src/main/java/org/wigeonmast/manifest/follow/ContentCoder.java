package org.wigeonmast.manifest.follow;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.jspecify.annotations.Nullable;

/**
 * Compresses content against an earlier version of it, so that a change of one line costs
 * about a line.
 * <p>
 * Thread safety: stateless. Invariant: decoding produces at most the expected number of
 * bytes, whatever arrives.
 * <p>
 * Content is a sequence of zlib streams of one chunk each. The preset dictionary of a
 * chunk is the part of the base around the same position: zlib looks back 32 KB at most,
 * which is less than the size of a large index.
 */
final class ContentCoder {

	private static final int CHUNK = 16_384;

	/** Bytes by which content may have shifted against its base. */
	private static final int MARGIN = 8192;

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
		// A fast level: this runs on the control thread, which must not wait for long.
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			ByteArrayOutputStream encoded = new ByteArrayOutputStream();
			byte[] buffer = new byte[CHUNK];
			for (int start = 0; start < bytes.length; start += CHUNK) {
				deflater.reset();
				if (base != null) {
					deflater.setDictionary(dictionary(base, start));
				}
				deflater.setInput(bytes, start, Math.min(CHUNK, bytes.length - start));
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
	 * @param base the base that it names, or {@code null} for none
	 * @param limit the greatest size in bytes
	 * @return the content, or {@code null} if it is malformed or larger
	 */
	static byte @Nullable [] decode(Content content, byte @Nullable [] base, long limit) {
		if (content.encoding() == Content.Encoding.PLAIN) {
			return (content.bytes().length <= limit) ? content.bytes() : null;
		}
		ByteArrayOutputStream decoded = new ByteArrayOutputStream();
		int position = 0;
		while (position < content.bytes().length) {
			int read = decodeChunk(content.bytes(), position, base, limit, decoded);
			if (read <= 0) {
				return null;
			}
			position += read;
		}
		return decoded.toByteArray();
	}

	// Returns the number of encoded bytes of the chunk, or -1.
	private static int decodeChunk(byte[] encoded, int position, byte @Nullable [] base, long limit,
			ByteArrayOutputStream decoded) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(encoded, position, encoded.length - position);
			byte[] buffer = new byte[CHUNK];
			int start = decoded.size();
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				decoded.write(buffer, 0, count);
				if (decoded.size() > limit || decoded.size() - start > CHUNK) {
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
		int from = Math.min(Math.max(0, start - MARGIN), base.length);
		return Arrays.copyOfRange(base, from, Math.min(base.length, start + CHUNK + MARGIN));
	}

}
