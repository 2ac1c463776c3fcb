package org.wigeonmast.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests of servers that send an answer once more. */
class RepeatedAnswerTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\nConnection: close\r\n\r\n";

	private static final String BODY = "first line\r\nsecond line";

	private static final String OTHER_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTry-Id: t0\r\nProof: p\r\n\r\nother";

	// Guards against a repeated answer that the caller gets as a part of the body of an
	// answer without length.
	@ParameterizedTest
	@ValueSource(strings = { OTHER_ANSWER, HEAD + BODY, "HTTP/1.0 500 Error\r\ntry-id: t0\r\n\r\n" })
	void answerBehindAnAnswerWithoutLengthIsNoPartOfIt(String repeated) throws Exception {
		List<String> mixed = new ArrayList<>();
		for (int length = "HTTP/1.".length(); length <= repeated.length(); length++) {
			String received = exchange(List.of(HEAD, BODY, repeated.substring(0, length)));
			if (received.startsWith("HTTP/1.1 2") && received.endsWith("0\r\n\r\n")) {
				mixed.add(repeated.substring(0, length));
			}
		}
		assertThat(mixed).isEmpty();
	}

	// Guards against a repeated answer that is overlooked because it arrives in parts.
	@Test
	void answerThatArrivesInPartsIsNoPartOfAnother() throws Exception {
		for (int split = 1; split < OTHER_ANSWER.length(); split++) {
			String received = exchange(
					List.of(HEAD + BODY, OTHER_ANSWER.substring(0, split), OTHER_ANSWER.substring(split)));
			assertWithMessage("split at %s", split).that(received).startsWith("HTTP/1.1 502 ");
		}
	}

	// Guards against a repeated answer behind a body that is too long to be held.
	@Test
	void answerBehindALongAnswerIsNoPartOfIt() throws Exception {
		String received = exchange(
				List.of(HEAD, "0123456789".repeat(TestProxy.MAX_HELD_RESPONSE_BYTES / 5), OTHER_ANSWER));
		assertThat(received).doesNotContain("other");
		assertThat(received).endsWith("<reset>");
	}

	// Guards against withholding whole answers whose body only resembles an answer.
	@ParameterizedTest
	@ValueSource(strings = { "", BODY, "HTTP/1.1 is a protocol.", "HTTP/1.1 200 OK\r\n\r\nTry-Id: t0\r\n\r\n",
			"HTTP/2 200 OK\r\nTry-Id: t0\r\n\r\n", "HTTP/1.1 200 OK\r\nRetry-Id: t0\r\n\r\nend", "HTTP", "H" })
	void bodyThatIsNoAnswerIsRelayed(String body) throws Exception {
		String received = exchange(List.of(HEAD, body));
		assertThat(received).startsWith("HTTP/1.1 200 ");
		assertThat(received).contains(body);
		assertThat(received).endsWith("0\r\n\r\n");
	}

	// Guards against looking for answers in a body whose length is known.
	@Test
	void bodyWithALengthMayHoldAnAnswer() throws Exception {
		String received = exchange(List.of(
				HEAD.replace("Connection: close", "Connection: close\r\nContent-Length: " + OTHER_ANSWER.length()),
				OTHER_ANSWER));
		assertThat(received).startsWith("HTTP/1.1 200 ");
		assertThat(received).endsWith(OTHER_ANSWER);
	}

	// Guards against a repeated answer to HEAD, whose stated length belongs to no body,
	// that swallows the answer to the next request.
	@Test
	void repeatedAnswerToHeadDoesNotDisturbTheNextRequest() throws Exception {
		AtomicInteger connections = new AtomicInteger();
		ScriptedServer.Script script = (connection) -> {
			int number = connections.incrementAndGet();
			while (true) {
				String id = RawConnection.header(connection.readMessage(), "try-id");
				String repeated = (number == 1 && id.equals("t1")) ? answerTo("t0", 500, "") : "";
				connection.write(repeated + (id.equals("t0") ? answerTo("t0", 500, "") : answerTo("t1", 2, "ok")));
			}
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("HEAD /s HTTP/1.1\r\nHost: h\r\nTry-Id: t0\r\nTime-Left: 5000\r\n\r\n");
			assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
			caller.write("GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 1500\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
		}
	}

	// Guards against a repeated refusal that passes as the answer to the second attempt
	// of the same request, which the server runs.
	@Test
	void repeatedRefusalSaysNothingAboutTheSecondAttempt() throws Exception {
		String refusal = "HTTP/1.1 421 Misdirected Request\r\nTry-Id: t1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (connection) -> {
			boolean refused = false;
			while (true) {
				connection.readMessage();
				boolean first = requests.incrementAndGet() == 1;
				connection.write((first || refused) ? refusal : "");
				refused |= first;
				connection.write(first ? "" : answerTo("t1", 2, "ok"));
			}
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.setReaction((
					progress) -> (progress.attempt() == 1 && progress.report() instanceof AttemptReport.ResponseStarted)
							? new ExchangeCommand.StartAttempt(progress.request(), 2, proxy.backend(),
									ConnectionRequirement.PROVEN, Long.MAX_VALUE / 2)
							: null);
			caller.write("DELETE /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
		}
	}

	private static String answerTo(String id, int length, String body) {
		return "HTTP/1.1 200 OK\r\nTry-Id: " + id + "\r\nProof: p\r\nContent-Length: " + length + "\r\n\r\n" + body;
	}

	private static String exchange(List<String> parts) throws Exception {
		ScriptedServer.Script script = (connection) -> {
			connection.readMessage();
			for (String part : parts) {
				connection.write(part);
				Thread.yield();
			}
			connection.close();
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\nConnection: close\r\n\r\n");
			return caller.readAll();
		}
	}

}
