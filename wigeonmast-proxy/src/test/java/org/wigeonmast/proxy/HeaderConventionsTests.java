package org.wigeonmast.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/** Tests of a proxy with custom header conventions that buffers whole responses. */
class HeaderConventionsTests {

	private static final String GET = "GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\n\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\nContent-Length: 2\r\n\r\nok";

	private static final String FOREIGN = "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: 5\r\n\r\nother";

	// Guards against relaying the response to an earlier request.
	@Test
	void foreignAnswerIsSkippedAndTheOwnOneDelivered() throws Exception {
		String answer = exchange(FOREIGN + OK);
		assertThat(answer).startsWith("HTTP/1.1 200 ");
		assertThat(answer).endsWith("ok");
	}

	// Guards against reusing a connection that delivered a response to another request.
	@Test
	void connectionWithAForeignAnswerIsNotReused() throws Exception {
		AtomicInteger connections = new AtomicInteger();
		ScriptedServer.Script script = (connection) -> {
			int number = connections.incrementAndGet();
			while (true) {
				connection.readMessage();
				connection.write((number == 1) ? FOREIGN + OK : OK);
			}
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			for (int i = 0; i < 2; i++) {
				caller.write(GET);
				assertThat(caller.readMessage()).endsWith("ok");
			}
			assertThat(connections.get()).isEqualTo(2);
		}
	}

	// Guards against relaying a success response without the proof field.
	@Test
	void successWithoutProofIsNotRelayed() throws Exception {
		assertThat(exchange("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nContent-Length: 2\r\n\r\nok"))
			.startsWith("HTTP/1.1 502 ");
	}

	// Guards against a body in an encoding that the caller did not request.
	@Test
	void encodedBodyIsNotRelayed() throws Exception {
		assertThat(exchange(OK.replace("Proof: p", "Proof: p\r\nContent-Encoding: gzip"))).startsWith("HTTP/1.1 502 ");
	}

	// Guards against relaying a response that was truncated at any length.
	@Test
	void answerThatEndsEarlyIsReplaced() throws Exception {
		for (int length = 1; length < OK.length(); length++) {
			String cut = OK.substring(0, length);
			ScriptedServer.Script script = (connection) -> {
				connection.readMessage();
				connection.write(cut);
				connection.close();
			};
			try (ScriptedServer backend = new ScriptedServer(script);
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection caller = proxy.connect()) {
				caller.write(GET);
				assertThat(caller.readMessage()).startsWith("HTTP/1.1 502 ");
			}
		}
	}

	// Guards against failing a response without length, which ends with its connection.
	@Test
	void answerWithoutLengthIsRelayedWhenItsConnectionEnds() throws Exception {
		ScriptedServer.Script script = (connection) -> {
			connection.readMessage();
			connection.write("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\n\r\nwhole");
			connection.close();
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against a request without the identifier of the server that it is for.
	@Test
	void requestNamesItsServerAndKeepsItsId() throws Exception {
		CompletableFuture<String> received = new CompletableFuture<>();
		ScriptedServer.Script script = (connection) -> {
			received.complete(connection.readMessage());
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			caller.readMessage();
			String request = received.get(10, TimeUnit.SECONDS);
			assertThat(RawConnection.header(request, "for-server")).isEqualTo("board-1");
			assertThat(RawConnection.header(request, "try-id")).isEqualTo("t1");
			assertThat(Long.parseLong(RawConnection.header(request, "time-left"))).isAtMost(5000);
			assertThat(RawConnection.header(request, "via")).isEmpty();
		}
	}

	// Guards against ignoring a statement that the request was not run.
	@Test
	void statedNotRunIsReportedWithAnyStatus() throws Exception {
		String[] answers = { "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" };
		for (String answer : answers) {
			try (ScriptedServer backend = ScriptedServer.answering(answer);
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection caller = proxy.connect()) {
				caller.write(GET);
				assertThat(proxy.nextReport(AttemptReport.ResponseStarted.class).notRun()).isTrue();
			}
		}
	}

	// Guards against taking an earlier refusal for that of a request that the server
	// runs.
	@Test
	void repeatedRefusalOnAKeptConnectionSaysNothingAboutTheNextRequest() throws Exception {
		String refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
		for (String id : new String[] { "", "Try-Id: t0\r\n" }) {
			ScriptedServer.Script script = (connection) -> {
				connection.readMessage();
				connection.write(OK.replace("t1", "t0"));
				connection.readMessage();
				connection.write(refusal.replace("Not-Run", id + "Not-Run"));
				connection.readMessage();
			};
			try (ScriptedServer backend = new ScriptedServer(script);
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection caller = proxy.connect()) {
				caller.write(GET.replace("t1", "t0"));
				assertThat(caller.readMessage()).endsWith("ok");
				caller.write(GET.replace("5000", "1500"));
				assertThat(caller.readMessage()).containsMatch("HTTP/1.1 50[24] ");
			}
		}
	}

	// Guards against not detecting that a caller closed its connection after pipelined
	// requests.
	@Test
	void callerThatLeavesBehindPipelinedRequestsIsNoticed() throws Exception {
		ScriptedServer.Script silent = RawConnection::readAll;
		try (ScriptedServer backend = new ScriptedServer(silent);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4))) {
			RawConnection caller = proxy.connect();
			caller.write(GET + GET + GET);
			proxy.next(RequestEvent.Accepted.class);
			caller.close();
			assertThat(proxy.next(RequestEvent.CallerLeft.class)).isNotNull();
		}
	}

	// Guards against pipelined responses that are lost or out of order.
	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		ScriptedServer.Script script = (connection) -> {
			while (true) {
				String id = RawConnection.header(connection.readMessage(), "try-id");
				connection.write(OK.replace("t1", id));
			}
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET.replace("t1", "a") + GET.replace("t1", "b") + GET.replace("t1", "c"));
			for (String id : new String[] { "a", "b", "c" }) {
				assertThat(RawConnection.header(caller.readMessage(), "try-id")).isEqualTo(id);
			}
		}
	}

	private static String exchange(String answer) throws Exception {
		try (ScriptedServer backend = ScriptedServer.answering(answer);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			return caller.readMessage();
		}
	}

}
