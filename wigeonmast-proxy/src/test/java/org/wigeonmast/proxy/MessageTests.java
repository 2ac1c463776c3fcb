package org.wigeonmast.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of how the proxy forwards messages and their header fields.
 */
class MessageTests {

	// Guards against forwarding hop-by-hop fields, and against dropping end-to-end
	// fields.
	@Test
	void passesFieldsOn() throws Exception {
		CompletableFuture<String> received = new CompletableFuture<>();
		ScriptedServer.Script record = (connection) -> {
			received.complete(connection.readMessage());
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-One\r\nX-One: 1\r\nX-Two: 2\r\n"
					+ "Keep-Alive: timeout=1\r\nTrailer: X\r\n\r\n");
		};
		try (ScriptedServer backend = new ScriptedServer(record);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller
				.write("POST /s?q=1 HTTP/1.1\r\nHost: a\r\nConnection: X-Hop, Host\r\nX-Hop: 1\r\nX-End: 2\r\nTE: t\r\n"
						+ "Keep-Alive: 3\r\nUpgrade: h2c\r\nProxy-Authorization: p\r\nCaller-Id: desk\r\n"
						+ "X-Request-Id: r-1\r\nRequest-Timeout: 5000\r\nIdempotency-Key: k\r\nRequest-Attempt: 2\r\n"
						+ "Content-Length: 3\r\n\r\nabc");
			String answer = caller.readMessage();
			String request = received.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(request).startsWith("POST /s?q=1 HTTP/1.1\r\n");
			assertThat(request).endsWith("\r\n\r\nabc");
			assertThat(request).contains("Host: a\r\n");
			assertThat(request).contains("X-End: 2\r\n");
			assertThat(request).contains("Caller-Id: desk\r\n");
			assertThat(request).contains("X-Request-Id: r-1\r\n");
			assertThat(Integer.parseInt(RawConnection.header(request, "request-timeout")))
				.isIn(com.google.common.collect.Range.closed(1, 5000));
			for (String hop : new String[] { "x-hop", "te", "keep-alive", "upgrade", "connection",
					"proxy-authorization" }) {
				assertThat(RawConnection.header(request, hop)).isEmpty();
			}
			assertThat(answer).contains("X-Two: 2\r\n");
			assertThat(RawConnection.header(answer, "x-request-id")).isEqualTo("r-1");
			for (String hop : new String[] { "x-one", "keep-alive", "trailer", "connection" }) {
				assertThat(RawConnection.header(answer, hop)).isEmpty();
			}
			RequestDescription description = proxy.next(RequestEvent.Accepted.class).request();
			assertThat(description.caller().value()).isEqualTo("desk");
			assertThat(description.key()).isEqualTo("k");
			assertThat(description.declaredAttempt()).isEqualTo(2);
			assertThat(description.replayable()).isTrue();
		}
	}

	// Guards against wrong framing after a response without a body: the second request on
	// the connection must get its own response.
	@ParameterizedTest
	@CsvSource({ "HEAD, 200 OK, Content-Length: 5", "HEAD, 200 OK, Transfer-Encoding: chunked", "GET, 204 No, X: y",
			"GET, 304 Same, Content-Length: 5" })
	void responsesWithoutBodyKeepTheirFraming(String method, String status, String field) throws Exception {
		ScriptedServer.Script script = (connection) -> {
			while (true) {
				String head = connection.readMessage();
				connection.write(head.startsWith("GET /s/2") ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
						: "HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\n");
			}
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = new TestProxy(backend.description(1));
				RawConnection caller = proxy.connect()) {
			caller.write(method + " /s/1 HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(caller.readHead()).startsWith("HTTP/1.1 " + status);
			caller.write("GET /s/2 HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
			assertThat(backend.pendingConnections()).isEqualTo(1);
		}
	}

	// Guards against relaying an interim response as the final one.
	@Test
	void skipsInterimResponses() throws Exception {
		String response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
				+ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
		try (ScriptedServer backend = ScriptedServer.answering(response);
				TestProxy proxy = new TestProxy(backend.description(1));
				RawConnection caller = proxy.connect()) {
			for (int i = 0; i < 2; i++) {
				caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
				assertThat(caller.readHead()).startsWith("HTTP/1.1 200 OK\r\n");
				assertThat(new String(caller.read(12))).isEqualTo("2\r\nok\r\n0\r\n\r\n");
			}
			assertThat(backend.pendingConnections()).isEqualTo(1);
		}
	}

	// Guards against pipelined requests that are answered out of order or lost.
	@Test
	void answersPipelinedRequestsInOrder() throws Exception {
		ScriptedServer.Script echo = (connection) -> {
			while (true) {
				String target = connection.readMessage().split(" ")[1];
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + target.length() + "\r\n\r\n" + target);
			}
		};
		try (ScriptedServer backend = new ScriptedServer(echo);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			StringBuilder requests = new StringBuilder();
			for (int i = 0; i < 200; i++) {
				requests.append("POST /s/" + i + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
			}
			caller.write(requests.toString());
			for (int i = 0; i < 200; i++) {
				assertThat(caller.readMessage()).endsWith("\r\n\r\n/s/" + i);
			}
		}
	}

	// Guards against a malformed request that replaces the response to the previous one.
	@Test
	void malformedPipelinedRequestIsRefusedInOrder() throws Exception {
		try (ScriptedServer backend = ScriptedServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			String get = "GET /s HTTP/1.1\r\nHost: a\r\n";
			caller.write(get + "\r\n" + get + "X: a\r\n b\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
			assertThat(caller.readAll()).startsWith("HTTP/1.1 400 ");
		}
	}

	// Guards against a caller that waits for status 100 forever, and against forwarding
	// the expectation to the server, whose own 100 could be mistaken for the response.
	@ParameterizedTest
	@CsvSource({ "3", "100000" })
	void answersExpectations(int length) throws Exception {
		CompletableFuture<String> received = new CompletableFuture<>();
		ScriptedServer.Script record = (connection) -> {
			received.complete(connection.readMessage());
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		};
		try (ScriptedServer backend = new ScriptedServer(record);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller
				.write("PUT /s HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " + length + "\r\n\r\n");
			assertThat(caller.readHead()).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
			caller.write("x".repeat(length));
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 200 ");
			String request = received.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(request).endsWith("\r\n\r\n" + "x".repeat(length));
			assertThat(RawConnection.header(request, "expect")).isEmpty();
		}
	}

	// Guards against callers that occupy a connection with a head or body that never
	// ends.
	@ParameterizedTest
	@CsvSource({ "GET /s HTTP/1.1", "'POST /s HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc'",
			"'POST /s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab'" })
	void refusesSlowSenders(String start) throws Exception {
		ProxyConfiguration.Timeouts normal = ProxyConfiguration.Timeouts.DEFAULTS;
		ProxyConfiguration.Timeouts quick = new ProxyConfiguration.Timeouts(50, 50, normal.keepAlive(),
				normal.request(), normal.connect(), normal.backendIdle(), normal.proven(), normal.drainIdle(),
				normal.retryAfter());
		try (ScriptedServer backend = ScriptedServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
				TestProxy proxy = new TestProxy(backend.description(4),
						(configuration) -> new ProxyConfiguration(configuration.bindAddress(),
								configuration.daemonName(), configuration.callerConnections(), configuration.limits(),
								quick));
				RawConnection caller = proxy.connect()) {
			caller.write(start);
			assertThat(caller.readAll()).startsWith("HTTP/1.1 408 ");
		}
	}

}
