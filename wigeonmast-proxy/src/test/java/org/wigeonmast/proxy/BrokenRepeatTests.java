package org.wigeonmast.proxy;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of servers that send a part of an earlier answer, or all of it, before the next.
 */
class BrokenRepeatTests {

	private static final String FIRST = "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: 5\r\n\r\nfirst";

	private static final String FAILURE = "HTTP/1.1 500 Error\r\nTry-Id: t1\r\nContent-Length: 2\r\n\r\nno";

	// Guards against the start of a repeated answer that waits on an idle connection and
	// becomes the head of the next answer.
	@ParameterizedTest
	@ValueSource(strings = { "H", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nTr", "HTTP/1.1 200 OK\r\nProof: p",
			"HTTP/1.1 200 OK\r\nProof: p\r\n", "HTTP/1.1 200 OK\r\nProof: p\r\nX: ",
			"HTTP/1.1 200 OK\r\nTry-Id: t0\r\nX: " })
	void startOfAnAnswerOnAnIdleConnectionIsNoPartOfTheNext(String start) throws Exception {
		assertThat(answerToTheSecond("DELETE", start, "", "", FAILURE)).startsWith("HTTP/1.1 500 Error\r\n");
		assertThat(answerToTheSecond("DELETE", "", start, "", FAILURE)).startsWith("HTTP/1.1 500 Error\r\n");
	}

	// Guards against a failure that looks like a success because the start of a repeated
	// answer precedes it.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nProof: p", "HTTP/1.1 200 OK\r\nProof: p\r\nX: " })
	void startOfAnAnswerDoesNotTurnAFailureIntoASuccess(String start) throws Exception {
		assertThat(answerToTheSecond("DELETE", "", "", start, FAILURE)).doesNotContain("HTTP/1.1 200 ");
	}

	// Guards against a repeated answer whose body is taken for the answer to HEAD.
	@ParameterizedTest
	@ValueSource(strings = { "first", "first\r\n" })
	void repeatedAnswerDoesNotDisturbHead(String body) throws Exception {
		String repeated = FIRST.replace("Length: 5", "Length: " + body.length()).replace("first", body);
		String answer = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\nContent-Length: 500\r\n\r\n";
		assertThat(answerToTheSecond("HEAD", "", "", repeated, answer)).startsWith("HTTP/1.1 200 ");
	}

	// Guards against a stop that does not end because its proxy was closed before.
	@Test
	void callersOfAClosedProxyAreClosed() throws Exception {
		try (ScriptedServer backend = ScriptedServer.answering(FIRST);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4))) {
			proxy.close();
			proxy.server().closeCallers().get();
		}
	}

	private static String answerToTheSecond(String method, String behindFirst, String whileIdle, String beforeSecond,
			String second) throws Exception {
		AtomicInteger connections = new AtomicInteger();
		ScriptedServer.Script script = (connection) -> {
			boolean kept = connections.incrementAndGet() == 1;
			connection.readMessage();
			if (kept) {
				connection.write(FIRST + behindFirst);
				Thread.sleep(50);
				connection.write(whileIdle);
				connection.readMessage();
				connection.write(beforeSecond);
				Thread.sleep(50);
			}
			connection.write(second);
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t0\r\nTime-Left: 5000\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("first");
			Thread.sleep(200);
			caller.write(
					method + " /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 1500\r\nConnection: close\r\n\r\n");
			return caller.readAll();
		}
	}

}
