package org.wigeonmast.manifest.follow;

import java.util.Arrays;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against content that decodes to different bytes, and against content that
 * decodes to more bytes than permitted.
 */
class ContentCoderTests {

	private static final int LIMIT = 1 << 20;

	@Property(tries = 200, seed = "3")
	void decodesWhatWasEncoded(@ForAll @Size(max = 500) byte[] pattern, @ForAll @IntRange(max = 200) int repeats,
			@ForAll byte[] base) {
		byte[] bytes = new byte[pattern.length * repeats];
		for (int i = 0; i < repeats; i++) {
			System.arraycopy(pattern, 0, bytes, i * pattern.length, pattern.length);
		}
		assertThat(ContentCoder.decode(ContentCoder.encode(bytes, "", null), null, LIMIT)).isEqualTo(bytes);
		assertThat(ContentCoder.decode(ContentCoder.encode(bytes, "base", base), base, LIMIT)).isEqualTo(bytes);
	}

	@Property(tries = 500, seed = "3")
	void malformedContentDecodesWithinTheLimit(@ForAll byte[] bytes, @ForAll byte[] base) {
		byte[] decoded = ContentCoder.decode(new Content(Content.Encoding.DEFLATED, "base", bytes), base, 100);
		assertThat(decoded == null || decoded.length <= 100).isTrue();
	}

	@Test
	void rejectsContentAboveTheLimit() {
		Content content = ContentCoder.encode(new byte[LIMIT], "", null);
		assertThat(ContentCoder.decode(content, null, LIMIT - 1)).isNull();
		assertThat(ContentCoder.decode(content, null, LIMIT)).hasLength(LIMIT);
	}

	@Test
	void encodesASmallChangeCompactly() {
		byte[] base = new byte[LIMIT];
		new Random(1).nextBytes(base);
		byte[] changed = Arrays.copyOf(base, base.length);
		changed[LIMIT / 2]++;
		assertThat(ContentCoder.encode(changed, "base", base).bytes().length).isLessThan(LIMIT / 50);
	}

}
