package org.wigeonmast.proxy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests of backend servers that end their answers early. */
@Timeout(120)
class TruncatedResponseTests {

	private static final String BODY = "0123456789";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\nContent-Type: a\r\n";

	/** More than the buffers of the operating system hold. */
	private static final int UPLOAD_BYTES = 32 << 20;

	private static final long SOON_MS = 200;

	private static final String GET = "GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\n\r\n";

	// Guards against a part of an answer that the caller gets as a complete one, for each
	// byte after which the server may stop.
	@ParameterizedTest
	@EnumSource
	void prefixOfAnAnswerIsNeverComplete(Ending ending) throws Exception {
		List<String> prefixes = new ArrayList<>();
		for (Framing framing : Framing.values()) {
			String answer = framing.answer;
			for (int length = 0; length < answer.length(); length++) {
				// The end of a connection completes a body without length.
				if (framing != Framing.UNTIL_CLOSE || ending != Ending.CLOSE
						|| length <= answer.indexOf("\r\n\r\n") + 3) {
					prefixes.add(answer.substring(0, length));
				}
			}
		}
		Queue<String> scripts = new ConcurrentLinkedQueue<>(prefixes);
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			connection.readMessage();
			connection.write(scripts.remove());
			ending.end(connection);
		}); TestProxy proxy = TestProxy.holdingResponses(backend.description(1000))) {
			List<String> complete = new ArrayList<>();
			for (String prefix : prefixes) {
				try (RawConnection caller = proxy.connect()) {
					caller.write(GET.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
					if (looksComplete(caller.readAll())) {
						complete.add(prefix);
					}
				}
			}
			assertThat(complete).isEmpty();
		}
	}

	// Guards against a part of an answer that looks complete on a connection that has
	// carried an answer before.
	@Test
	void prefixOfALaterAnswerOnAKeptConnectionIsNeverComplete() throws Exception {
		String answer = Framing.LENGTH.answer;
		for (int length = 0; length < answer.length(); length++) {
			String prefix = answer.substring(0, length);
			try (ScriptedServer backend = new ScriptedServer((connection) -> {
				connection.readMessage();
				connection.write(answer);
				connection.readMessage();
				connection.write(prefix);
				connection.close();
			});
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection caller = proxy.connect()) {
				caller.write(GET);
				assertThat(caller.readMessage()).endsWith(BODY);
				caller.write(GET.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
				assertThat(looksComplete(caller.readAll())).isFalse();
			}
		}
	}

	// Guards against an answer whose reset the proxy notices by a failed write of the
	// upload, and that then looks complete.
	@ParameterizedTest
	@EnumSource
	void answerThatIsResetDuringTheUploadIsNeverComplete(Framing framing) throws Exception {
		String head = framing.answer.substring(0, framing.answer.indexOf("\r\n\r\n") + 4);
		List<String> prefixes = List.of(framing.answer.substring(0, head.length() + 8), head,
				head.substring(0, head.length() - 2), head.substring(0, head.length() - 12));
		for (String prefix : prefixes) {
			CompletableFuture<Void> uploaded = new CompletableFuture<>();
			try (ScriptedServer backend = new ScriptedServer((connection) -> {
				connection.readHead();
				// The rest of the upload waits in the proxy.
				assertThat(isDoneSoon(uploaded)).isFalse();
				connection.write(prefix);
				assertThat(isDoneSoon(uploaded)).isFalse();
				connection.reset();
			});
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection caller = proxy.connect()) {
				startUpload(caller, uploaded);
				assertWithMessage(prefix).that(looksComplete(caller.readAll())).isFalse();
			}
		}
	}

	// Guards against breaking off an answer without length that the server ends in order
	// while the upload still runs.
	@Test
	void answerThatEndsDuringTheUploadIsComplete() throws Exception {
		CompletableFuture<Void> uploaded = new CompletableFuture<>();
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			connection.readHead();
			assertThat(isDoneSoon(uploaded)).isFalse();
			connection.write(Framing.UNTIL_CLOSE.answer);
			connection.endOutput();
			connection.readAll();
		});
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			startUpload(caller, uploaded);
			String received = caller.readAll();
			assertThat(looksComplete(received)).isTrue();
			assertThat(received).contains(BODY);
		}
	}

	private static void startUpload(RawConnection caller, CompletableFuture<Void> uploaded) throws IOException {
		caller.write("PUT /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\nContent-Length: " + UPLOAD_BYTES
				+ "\r\nConnection: close\r\n\r\n");
		Thread.ofVirtual().start(() -> upload(caller, uploaded));
	}

	private static boolean isDoneSoon(CompletableFuture<Void> future) throws Exception {
		try {
			future.get(SOON_MS, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (TimeoutException exception) {
			return false;
		}
	}

	private static void upload(RawConnection caller, CompletableFuture<Void> uploaded) {
		byte[] block = new byte[64 * 1024];
		try {
			for (int written = 0; written < UPLOAD_BYTES; written += block.length) {
				caller.write(block);
			}
			uploaded.complete(null);
		}
		catch (IOException exception) {
			// The proxy answers before the upload ends.
			return;
		}
	}

	/**
	 * Returns whether a caller would take what it received for a complete success.
	 * @param received all bytes up to the end of the connection
	 * @return whether it is one
	 */
	private static boolean looksComplete(String received) {
		if (!received.startsWith("HTTP/1.1 2")) {
			return false;
		}
		assertThat(received).contains("\r\n\r\n");
		String head = received.substring(0, received.indexOf("\r\n\r\n") + 4);
		String body = received.substring(head.length());
		String length = RawConnection.header(head, "content-length");
		if (!length.isEmpty()) {
			return body.length() == Integer.parseInt(length);
		}
		return RawConnection.header(head, "transfer-encoding").equals("chunked") ? body.endsWith("0\r\n\r\n")
				: !body.endsWith("<reset>");
	}

	/** How a server states the length of its answer. */
	enum Framing {

		LENGTH(HEAD + "Content-Length: 10\r\n\r\n" + BODY),

		CHUNKS(HEAD + "Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n"),

		UNTIL_CLOSE(HEAD + "Connection: close\r\n\r\n" + BODY);

		private final String answer;

		Framing(String answer) {
			this.answer = answer;
		}

	}

	/** How a server ends its connection. */
	enum Ending {

		CLOSE {

			@Override
			void end(RawConnection connection) {
				connection.close();
			}

		},

		RESET {

			@Override
			void end(RawConnection connection) throws Exception {
				connection.reset();
			}

		};

		abstract void end(RawConnection connection) throws Exception;

	}

}
