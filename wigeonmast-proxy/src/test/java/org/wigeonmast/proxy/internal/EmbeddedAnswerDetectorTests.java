package org.wigeonmast.proxy.internal;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests of the search for a response within a body. */
class EmbeddedAnswerDetectorTests {

	// Guards against a response that is overlooked because of how the body is split.
	@Test
	void resultDoesNotDependOnTheParts() {
		byte[] body = "ok HTTP/1.1 HTTP/1.1 2HHTTP/1.1 200 OK\r\nA: b\r\nTry-Id: t0\r\n\r\nother"
			.getBytes(StandardCharsets.US_ASCII);
		for (int first = 0; first <= body.length; first++) {
			for (int second = first; second <= body.length; second++) {
				EmbeddedAnswerDetector detector = new EmbeddedAnswerDetector("Try-Id");
				detector.examine(Unpooled.wrappedBuffer(body, 0, first));
				detector.examine(Unpooled.wrappedBuffer(body, first, second - first));
				assertWithMessage("split at %s and %s", first, second)
					.that(detector.examine(Unpooled.wrappedBuffer(body, second, body.length - second)))
					.isTrue();
			}
		}
	}

	// Guards against withholding a whole body that quotes a status line.
	@ParameterizedTest
	@ValueSource(strings = { "see HTTP/1.1 200 OK\nas in the page", "HTTP/1.1 200 OK\r\nno field\r\nTry-Id: t0\r\n" })
	void linesThatAreNoFieldsEndAHead(String body) {
		EmbeddedAnswerDetector detector = new EmbeddedAnswerDetector("Try-Id");
		assertThat(detector.examine(Unpooled.copiedBuffer(body + "\n", StandardCharsets.US_ASCII))).isFalse();
		assertThat(detector.endsWithinHead()).isFalse();
	}

}
