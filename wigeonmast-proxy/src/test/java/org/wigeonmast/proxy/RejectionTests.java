package org.wigeonmast.proxy;

import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of requests that the proxy itself must reject. Each case guards against a request
 * that the proxy and a backend server could parse differently, or that could occupy
 * resources for long.
 */
class RejectionTests {

	private static final int BACKEND_CONNECTIONS = 8;

	private static ScriptedServer backend;

	private static TestProxy proxy;

	@BeforeAll
	static void start() throws Exception {
		backend = ScriptedServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		proxy = new TestProxy(backend.description(BACKEND_CONNECTIONS));
	}

	@AfterAll
	static void stop() throws Exception {
		proxy.close();
		backend.close();
	}

	static Stream<Arguments> malformed() {
		String get = "GET /s HTTP/1.1\r\nHost: a\r\n";
		String post = "POST /s HTTP/1.1\r\nHost: a\r\n";
		return Stream.of(post(post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"),
				post(post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"),
				post(post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd"),
				post(post + "Content-Length: 4, 4\r\n\r\nabcd"), post(post + "Content-Length: +4\r\n\r\nabcd"),
				post(post + "Content-Length: -4\r\n\r\nabcd"), post(post + "Content-Length: 0x4\r\n\r\nabcd"),
				post(post + "Content-Length: 4 4\r\n\r\nabcd"), post(post + "Content-Length:\r\n\r\nabcd"),
				post(post + "Content-Length: 99999999999999999999\r\n\r\n"),
				post(post + "Content-Length : 4\r\n\r\nabcd"),
				post(post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: identity\r\n\r\n"),
				post(post + "Transfer-Encoding: \u000bchunked\r\n\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
				post(post + "Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n"),
				post(post + "Transfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n"), post(get + "X: a\r\n b\r\n\r\n"),
				post(get + "X: a\r\n\tb\r\n\r\n"), post("GET /s HTTP/1.1\r\n Host: a\r\n\r\n"),
				post(" " + get + "\r\n"), post(get + "X y: a\r\n\r\n"), post(get + "X(: a\r\n\r\n"),
				post(get + ": a\r\n\r\n"), post(get + "X\r\n\r\n"), post(get + "X: a\u0000b\r\n\r\n"),
				post(get + "X: a\rb\r\n\r\n"), post(get.replace("\r\n", "\n") + "\n"), post("GET /s HTTP/1.1\r\n\r\n"),
				post(get + "Host: b\r\n\r\n"), post("GET /s x HTTP/1.1\r\nHost: a\r\n\r\n"),
				post("GET /s\r\nHost: a\r\n\r\n"), post("GET http://a/s HTTP/1.1\r\nHost: a\r\n\r\n"),
				post("GET * HTTP/1.1\r\nHost: a\r\n\r\n"), post("GET /s#f HTTP/1.1\r\nHost: a\r\n\r\n"),
				post("GET /s\u00e9 HTTP/1.1\r\nHost: a\r\n\r\n"),
				post(get + "Upgrade: websocket\r\nConnection: Upgrade\r\n\r\n"), post(get + "Caller-Id: a b\r\n\r\n"),
				post(get + "Caller-Id: " + "c".repeat(129) + "\r\n\r\n"), post(get + "Request-Timeout: 1s\r\n\r\n"),
				post(get + "Request-Attempt: -1\r\n\r\n"), post(get + "Idempotency-Key: \r\n\r\n"),
				Arguments.of("GET /s HTTP/1.0\r\nHost: a\r\n\r\n", 426),
				Arguments.of("GET /s HTTP/2.0\r\nHost: a\r\n\r\n", 426),
				Arguments.of("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 405),
				Arguments.of("TRACE /s HTTP/1.1\r\nHost: a\r\n\r\n", 405),
				Arguments.of(get + "Expect: 200-ok\r\n\r\n", 417),
				Arguments.of(post + "Content-Length: 2000000000\r\n\r\n", 413),
				Arguments.of("GET /s" + "x".repeat(9000) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414),
				Arguments.of(get + "X: " + "x".repeat(17_000) + "\r\n\r\n", 431),
				Arguments.of(get + "X: y\r\n".repeat(5000) + "\r\n", 431));
	}

	private static Arguments post(String request) {
		return Arguments.of(request, 400);
	}

	@ParameterizedTest
	@MethodSource("malformed")
	void refusesAndCloses(String request, int status) throws Exception {
		int before = backend.pendingConnections();
		try (RawConnection caller = proxy.connect()) {
			caller.write(request);
			String answer = caller.readAll();
			assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
			assertThat(answer).contains("\"execution\":\"not-run\"");
			assertThat(answer).ignoringCase().contains("connection: ");
			assertThat(answer.split("HTTP/1.1 \\d").length).isEqualTo(2);
			assertThat(backend.pendingConnections()).isEqualTo(before);
		}
	}

	// Guards against undetected line folding when the line break and the white space
	// arrive in different reads.
	@Test
	void refusesFoldingAcrossReads() throws Exception {
		try (RawConnection caller = proxy.connect()) {
			for (char character : "GET /s HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n".toCharArray()) {
				caller.write(String.valueOf(character));
				Thread.onSpinWait();
			}
			assertThat(caller.readAll()).startsWith("HTTP/1.1 400 ");
		}
	}

}
