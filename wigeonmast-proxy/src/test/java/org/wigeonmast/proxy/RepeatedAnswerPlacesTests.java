package org.wigeonmast.proxy;

import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests of servers that send an answer again at any place of the next exchange. */
class RepeatedAnswerPlacesTests {

	private static final String OWN = RepeatingServer.answer(RepeatingServer.SECOND_ID);

	private static final String OWN_BODY = RepeatingServer.body(RepeatingServer.SECOND_ID);

	private static final String FIRST = RepeatingServer.answer(RepeatingServer.FIRST_ID);

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nTry-Id: t0\r\nContent-Length: 2\r\n\r\nno";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "5\r\nfirst\r\n0\r\nT: x\r\n\r\n";

	private static final int DEADLINE_MS = 4000;

	/** Distance between the places at which a repeat is split in bytes. */
	private static final int SPLIT_STEP_BYTES = 31;

	// Guards against losing the own answer behind a whole answer to another request.
	@ParameterizedTest
	@EnumSource
	void ownAnswerFollowsARepeat(Repeat repeat) throws Exception {
		for (int count : new int[] { 1, 2, 5 }) {
			Result result = play(FIRST, "", repeat.bytes.repeat(count) + OWN);
			assertWithMessage("%s times %s", count, result).that(result.isOwn()).isTrue();
		}
	}

	// Guards against a repeat, whole or in parts, that arrives while no request waits.
	@ParameterizedTest
	@EnumSource
	void repeatBetweenTwoRequestsIsDropped(Repeat repeat) throws Exception {
		for (int length = repeat.bytes.length(); length > 0; length -= SPLIT_STEP_BYTES) {
			Result result = play(FIRST, repeat.bytes.substring(0, length), repeat.bytes.substring(length) + OWN);
			assertWithMessage("%s bytes early %s", length, result).that(result.isOwn()).isTrue();
		}
	}

	// Guards against a repeat in the same segment as the answer, whole or in parts.
	@ParameterizedTest
	@EnumSource
	void repeatAtTheEndOfAnAnswerIsDropped(Repeat repeat) throws Exception {
		for (int length = repeat.bytes.length(); length > 0; length -= SPLIT_STEP_BYTES) {
			Result result = play(FIRST + repeat.bytes.substring(0, length), "", repeat.bytes.substring(length) + OWN);
			assertWithMessage("%s bytes early %s", length, result).that(result.isOwn()).isTrue();
		}
	}

	// Guards against delivering bytes that name no request, or several.
	@ParameterizedTest
	@EnumSource
	void answerOfUnclearOwnerIsNeverDelivered(Unclear unclear) throws Exception {
		for (String method : new String[] { "GET", "DELETE" }) {
			Result result = play("GET", FIRST, "", method, unclear.bytes);
			assertWithMessage("%s %s", method, result).that(result.isTruthful()).isTrue();
		}
	}

	// Guards against a repeat within the next answer that becomes a part of it.
	@ParameterizedTest
	@EnumSource
	void repeatWithinTheNextAnswerIsNoPartOfIt(Within within) throws Exception {
		Result result = play(FIRST, "", within.bytes);
		assertWithMessage("%s", result).that(result.isTruthful()).isTrue();
	}

	// Guards against the body of a repeat being decoded as an answer to a HEAD request.
	@ParameterizedTest
	@EnumSource
	void repeatBeforeAnAnswerToHeadIsTruthful(Repeat repeat) throws Exception {
		String own = OWN.substring(0, OWN.length() - OWN_BODY.length());
		Result result = play("GET", FIRST, "", "HEAD", repeat.bytes + own);
		assertWithMessage("%s", result).that(result.isTruthful()).isTrue();
	}

	// Guards against an answer to HEAD whose repeat is awaited with a body.
	@Test
	void repeatOfAnAnswerToHeadBeforeAnotherToHeadIsDropped() throws Exception {
		String first = FIRST.substring(0, FIRST.indexOf("own"));
		String own = OWN.substring(0, OWN.indexOf("own"));
		Result result = play("HEAD", first, "", "HEAD", first + first + own);
		assertWithMessage("%s", result).that(result.isOwn()).isTrue();
	}

	// Guards against losing a whole answer because other bytes follow it.
	@ParameterizedTest
	@EnumSource
	void repeatBehindTheLastAnswerIsDropped(Repeat repeat) throws Exception {
		for (int count : new int[] { 1, 50 }) {
			Result result = play(FIRST, "", OWN + repeat.bytes.repeat(count));
			assertWithMessage("%s", result).that(result.isOwn()).isTrue();
		}
	}

	// Guards against waiting for the deadline behind a repeat that is larger than what
	// may precede an answer.
	@ParameterizedTest
	@ValueSource(ints = { 1 << 20, 3 << 20 })
	void largeRepeatEndsTheAttemptOrPrecedesItsAnswer(int bytes) throws Exception {
		String repeat = "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: " + bytes + "\r\n\r\n"
				+ "x".repeat(bytes);
		Result result = play(FIRST, "", repeat + OWN);
		assertWithMessage("%s", result).that(result.isTruthful()).isTrue();
	}

	// Guards against delivering an answer that lies in the body of an incomplete repeat.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 200\r\n\r\nfirst", "Transfer-Encoding: chunked\r\n\r\n90\r\nfirst" })
	void incompleteRepeatBeforeAnAnswerIsNoPartOfIt(String rest) throws Exception {
		Result result = play("GET", FIRST, "", "DELETE", "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\n" + rest + OWN);
		boolean expired = result.answer.startsWith("HTTP/1.1 504 ") && result.received == 1;
		assertWithMessage("%s", result).that(expired || result.isTruthful()).isTrue();
	}

	// Guards against an answer to a request that its deadline or its caller has ended.
	@Test
	void lateAnswerOfAnEndedExchangeReachesNoOtherOne() throws Exception {
		for (boolean callerLeaves : new boolean[] { true, false }) {
			List<String> received = new ArrayList<>();
			try (ScriptedServer backend = new ScriptedServer((connection) -> {
				String id = RawConnection.header(connection.readMessage(), "try-id");
				if (id.equals(RepeatingServer.FIRST_ID)) {
					TimeUnit.MILLISECONDS.sleep(400);
				}
				connection.write(RepeatingServer.answer(id).repeat(2));
				connection.readAll();
			});
					TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
					RawConnection first = proxy.connect();
					RawConnection second = proxy.connect()) {
				first.write(request("GET", RepeatingServer.FIRST_ID).replace("" + DEADLINE_MS, "200"));
				if (callerLeaves) {
					backend.nextConnection();
					first.close();
				}
				else {
					assertThat(first.readMessage()).startsWith("HTTP/1.1 504 ");
				}
				for (int i = 0; i < 10; i++) {
					second.write(request("GET", "n" + i));
					received.add(second.readMessage());
					TimeUnit.MILLISECONDS.sleep(50);
				}
			}
			for (int i = 0; i < received.size(); i++) {
				assertThat(received.get(i)).endsWith(RepeatingServer.body("n" + i));
			}
		}
	}

	// Guards against repeats that mix the answers to pipelined requests.
	@ParameterizedTest
	@EnumSource
	void pipelinedRequestsGetTheirOwnAnswers(Repeat repeat) throws Exception {
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			while (true) {
				String id = RawConnection.header(connection.readMessage(), "try-id");
				connection.write(repeat.bytes + RepeatingServer.answer(id) + repeat.bytes);
			}
		});
				TestProxy proxy = TestProxy.holdingResponses(backend.description(8));
				RawConnection caller = proxy.connect()) {
			StringBuilder requests = new StringBuilder();
			for (int i = 0; i < 12; i++) {
				requests.append(request("GET", "n" + i));
			}
			caller.write(requests.toString());
			for (int i = 0; i < 12; i++) {
				assertThat(caller.readMessage()).endsWith("\r\n\r\n" + RepeatingServer.body("n" + i));
			}
		}
	}

	// Guards against a repeat of an answer that came before the end of the upload.
	@Test
	void repeatOfAnEarlyAnswerDuringTheUploadReachesNoOtherRequest() throws Exception {
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			while (true) {
				String head = connection.readHead();
				String id = RawConnection.header(head, "try-id");
				connection.write(RepeatingServer.answer(id).repeat(head.startsWith("POST") ? 3 : 1));
				if (head.startsWith("POST")) {
					connection.readAll();
				}
			}
		}); TestProxy proxy = TestProxy.holdingResponses(backend.description(8))) {
			for (int i = 0; i < 5; i++) {
				try (RawConnection uploader = proxy.connect(); RawConnection caller = proxy.connect()) {
					uploader.write("POST /s HTTP/1.1\r\nHost: h\r\nTry-Id: u" + i + "\r\nTime-Left: " + DEADLINE_MS
							+ "\r\nContent-Length: 3000000\r\n\r\n" + "x".repeat(1_500_000));
					assertThat(uploader.readMessage()).endsWith(RepeatingServer.body("u" + i));
					caller.write(request("GET", "n" + i));
					assertThat(caller.readMessage()).endsWith(RepeatingServer.body("n" + i));
				}
			}
		}
	}

	// Guards against a repeat around an answer that is too long to be held.
	@ParameterizedTest
	@EnumSource
	void repeatAroundALongAnswerIsDropped(Repeat repeat) throws Exception {
		String body = "0123456789".repeat(TestProxy.MAX_HELD_RESPONSE_BYTES / 5);
		String head = "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\n";
		for (String own : new String[] { head + "Content-Length: " + body.length() + "\r\n\r\n" + body,
				head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
						+ "\r\n0\r\n\r\n" }) {
			Result result = play(FIRST, "", repeat.bytes + own + repeat.bytes);
			assertThat(result.answer.substring(result.answer.indexOf("\r\n\r\n") + 4).equals(body)).isTrue();
		}
	}

	// Guards against a repeat during an upload that is taken for its answer.
	@ParameterizedTest
	@EnumSource
	void repeatDuringAnUploadIsDropped(Repeat repeat) throws Exception {
		int bodyBytes = 3_000_000;
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			connection.readMessage();
			connection.write(FIRST);
			connection.readHead();
			connection.write(repeat.bytes);
			connection.read(bodyBytes / 2);
			connection.write(repeat.bytes);
			connection.read(bodyBytes / 2);
			connection.write(OWN + repeat.bytes);
			connection.readAll();
		});
				TestProxy proxy = TestProxy.holdingResponses(backend.description(8));
				RawConnection caller = proxy.connect()) {
			caller.write(request("GET", RepeatingServer.FIRST_ID));
			caller.readMessage();
			caller.write("POST /s HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: " + DEADLINE_MS
					+ "\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes));
			assertThat(caller.readMessage()).endsWith("\r\n\r\n" + OWN_BODY);
		}
	}

	static String request(String method, String id) {
		return method + " /s HTTP/1.1\r\nHost: h\r\nTry-Id: " + id + "\r\nTime-Left: " + DEADLINE_MS + "\r\n\r\n";
	}

	private static Result play(String firstAnswer, String whileIdle, String secondAnswer) throws Exception {
		return play("GET", firstAnswer, whileIdle, "GET", secondAnswer);
	}

	/**
	 * Sends two requests, of which the second gets what the server sends.
	 * @param firstMethod the method of the first request
	 * @param firstAnswer the answer to it
	 * @param whileIdle the bytes that follow before the second request
	 * @param secondMethod the method of the second request
	 * @param secondAnswer the bytes that follow the second request
	 * @return what the caller of the second request received
	 */
	static Result play(String firstMethod, String firstAnswer, String whileIdle, String secondMethod,
			String secondAnswer) throws Exception {
		try (RepeatingServer backend = new RepeatingServer(firstAnswer, whileIdle, secondAnswer);
				TestProxy proxy = TestProxy.holdingResponses(backend.description());
				RawConnection caller = proxy.connect()) {
			caller.write(request(firstMethod, RepeatingServer.FIRST_ID));
			receive(caller, firstMethod);
			backend.sendIdleBytes();
			if (!whileIdle.isEmpty()) {
				TimeUnit.MILLISECONDS.sleep(5);
			}
			long startedAt = System.nanoTime();
			caller.write(request(secondMethod, RepeatingServer.SECOND_ID));
			String answer = receive(caller, secondMethod);
			return new Result(secondMethod, answer, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt),
					backend.timesReceived(RepeatingServer.SECOND_ID));
		}
	}

	private static String receive(RawConnection caller, String method) throws Exception {
		if (method.equals("HEAD")) {
			return caller.readHead();
		}
		String answer = caller.readMessage();
		return RawConnection.header(answer, "transfer-encoding").isEmpty() ? answer : answer + readChunks(caller);
	}

	private static String readChunks(RawConnection caller) throws Exception {
		StringBuilder body = new StringBuilder();
		while (true) {
			String line = readLine(caller);
			int size = line.isEmpty() ? -1 : Integer.parseInt(line, 16);
			if (size < 0) {
				return body + "<broken off>";
			}
			body.append(new String(caller.read(size), StandardCharsets.ISO_8859_1));
			readLine(caller);
			if (size == 0) {
				return body.toString();
			}
		}
	}

	private static String readLine(RawConnection caller) throws Exception {
		StringBuilder line = new StringBuilder();
		try {
			byte[] next = caller.read(1);
			while (next.length == 1 && next[0] != '\n') {
				line.append((char) next[0]);
				next = caller.read(1);
			}
		}
		catch (SocketException exception) {
			return "";
		}
		return line.toString().trim();
	}

	/**
	 * What the caller of the second request received.
	 *
	 * @param method the method of the request
	 * @param answer the answer
	 * @param elapsedMs the time it took in milliseconds
	 * @param received how often the server received the request
	 */
	record Result(String method, String answer, long elapsedMs, int received) {

		boolean isOwn() {
			String expectedEnd = this.method.equals("HEAD") ? "\r\n\r\n" : "\r\n\r\n" + OWN_BODY;
			return this.received == 1 && this.answer.startsWith("HTTP/1.1 200 ") && this.answer.endsWith(expectedEnd)
					&& RawConnection.header(this.answer, "try-id").equals(RepeatingServer.SECOND_ID)
					&& this.elapsedMs < DEADLINE_MS / 2;
		}

		boolean isTruthful() {
			boolean refused = this.answer.startsWith("HTTP/1.1 502 ") && this.received == 1;
			return isOwn() || (refused && this.elapsedMs < DEADLINE_MS / 2);
		}

	}

	/** Answer to the first request that is whole and names its request. */
	enum Repeat {

		LENGTH(FIRST),

		EMPTY("HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: 0\r\n\r\n"),

		CHUNKS(CHUNKED),

		NO_CONTENT("HTTP/1.1 204 No Content\r\nTry-Id: t0\r\nProof: p\r\n\r\n"),

		NO_CONTENT_WITH_LENGTH("HTTP/1.1 204 No Content\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: 9\r\n\r\n"),

		RESET_CONTENT("HTTP/1.1 205 Reset Content\r\nTry-Id: t0\r\nProof: p\r\nContent-Length: 0\r\n\r\n"),

		NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\nTry-Id: t0\r\nContent-Length: 99\r\n\r\n"),

		OTHER_STATUS("HTTP/1.1 500 Error\r\nTry-Id: t0\r\nContent-Length: 3\r\n\r\nbad"),

		REFUSED(REFUSAL),

		MISDIRECTED("HTTP/1.1 421 Misdirected\r\nTry-Id: t0\r\nContent-Length: 0\r\n\r\n"),

		TWO_IDENTIFIERS(FIRST.replace("Try-Id: t0", "Try-Id: t0\r\nTry-Id: t0")),

		IDENTIFIER_IN_OTHER_CASE(FIRST.replace("Try-Id: t0", "TRY-ID: T0")),

		IDENTIFIER_SPACED(FIRST.replace("Try-Id: t0", "Try-Id :\t t0 ")),

		IDENTIFIER_WITHOUT_SPACE(FIRST.replace("Try-Id: t0", "try-id:t0")),

		BEFORE_INTERIM(FIRST + CONTINUE),

		BEHIND_INTERIM(CONTINUE + FIRST),

		BETWEEN_INTERIMS(CONTINUE + FIRST + CONTINUE.replace("100", "103")),

		INTERIM("HTTP/1.1 103 Early Hints\r\nTry-Id: t0\r\n\r\n");

		private final String bytes;

		Repeat(String bytes) {
			this.bytes = bytes;
		}

	}

	/** Bytes before the own answer that don't name the request they belong to. */
	enum Unclear {

		NO_IDENTIFIER(FIRST.replace("Try-Id: t0\r\n", "")),

		NO_IDENTIFIER_IN_CHUNKS(CHUNKED.replace("Try-Id: t0\r\n", "")),

		NO_IDENTIFIER_NO_CONTENT("HTTP/1.1 204 No Content\r\nProof: p\r\n\r\n"),

		NO_IDENTIFIER_NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\n\r\n"),

		NO_IDENTIFIER_REFUSED(REFUSAL.replace("Try-Id: t0\r\n", "")),

		NO_IDENTIFIER_MISDIRECTED("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"),

		NO_IDENTIFIER_NO_LENGTH("HTTP/1.1 200 OK\r\nProof: p\r\n\r\nfirst"),

		IDENTIFIER_EMPTY(FIRST.replace("Try-Id: t0", "Try-Id:")),

		IDENTIFIER_FOLDED(FIRST.replace("Try-Id: t0", "Try-Id:\r\n t0")),

		IDENTIFIER_HIDDEN_BY_FOLDING(FIRST.replace("Try-Id: t0", "Note: x\r\n Try-Id: t0")),

		IDENTIFIERS_OF_BOTH(FIRST.replace("Try-Id: t0", "Try-Id: t1\r\nTry-Id: t0")),

		IDENTIFIERS_IN_A_LIST(FIRST.replace("Try-Id: t0", "Try-Id: t1, t0")),

		REFUSAL_WITH_THE_IDENTIFIERS_OF_BOTH(REFUSAL.replace("Try-Id: t0", "Try-Id: t1\r\nTry-Id: t0")),

		NO_HEAD("first"),

		NO_HEAD_WITH_LINES("first\r\nsecond\r\n\r\n");

		private final String bytes;

		Unclear(String bytes) {
			this.bytes = bytes + OWN;
		}

	}

	/** Next answer with a repeat within it. */
	enum Within {

		STATUS_LINE("HTTP/1.1 " + FIRST + "200 OK" + OWN.substring("HTTP/1.1 200 OK".length())),

		HEAD("HTTP/1.1 200 OK\r\nTry-Id: t1\r\n" + FIRST + "Proof: p\r\nContent-Length: 2\r\n\r\nok"),

		HEAD_BEFORE_ITS_IDENTIFIER(
				"HTTP/1.1 200 OK\r\nProof: p\r\n" + FIRST + "Try-Id: t1\r\nContent-Length: 2\r\n\r\nok"),

		FIELD_VALUE("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nNote: " + FIRST + "\r\nContent-Length: 2\r\n\r\nok"),

		REFUSAL_IN_A_HEAD("HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\n" + REFUSAL + "Content-Length: 2\r\n\r\nok"),

		CHUNK_SIZE(chunked("2" + FIRST + "\r\nok\r\n0\r\n\r\n")),

		BETWEEN_CHUNKS(chunked("2\r\nok\r\n" + FIRST + "2\r\nok\r\n0\r\n\r\n")),

		BETWEEN_CHUNKS_IN_CHUNKS(chunked("2\r\nok\r\n" + CHUNKED + "2\r\nok\r\n0\r\n\r\n")),

		CHUNK_END(chunked("2\r\nok" + FIRST + "\r\n0\r\n\r\n")),

		TRAILERS(chunked(ownChunk() + "0\r\n" + FIRST + "\r\n")),

		BEHIND_A_TRAILER(chunked(ownChunk() + "0\r\nT: x\r\n" + FIRST + "\r\n")),

		BEHIND_THE_LAST_CHUNK(chunked(ownChunk() + "0\r\n\r\n") + FIRST);

		private final String bytes;

		Within(String bytes) {
			this.bytes = bytes;
		}

		private static String chunked(String body) {
			return "HTTP/1.1 200 OK\r\nTry-Id: t1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
		}

		private static String ownChunk() {
			return Integer.toHexString(OWN_BODY.length()) + "\r\n" + OWN_BODY + "\r\n";
		}

	}

}
