package org.wigeonmast.cli.internal;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceEvent;

/** Tests of {@link RequestTrace}. */
class RequestTraceTests {

	private static final String REQUEST = "9c41";

	private static final String SENT = "attempt 1 of route claim sent to i-7 of claims: suspicion 3%, evidence 80 ms "
			+ "old, 1400 ms left";

	private final RequestTrace trace = new RequestTrace(REQUEST);

	/** Guards against a refusal whose reason is missing from the cause. */
	@Test
	void causeOfARefusalIncludesItsReason() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(12, BalanceEvent.ATTEMPT_FAILED, "attempt 1 at i-7 failed after 2 ms: not run, status 503");
		addRequestEvent(13, BalanceEvent.REFUSED,
				"refused as not run after 3 ms and 1 attempts: the backend servers are full");
		Truth.assertThat(cause()).contains("was not run");
		Truth.assertThat(cause()).contains("the backend servers are full");
	}

	/**
	 * Guards against a cause that says that the server was suspected, although the only
	 * suspicion was logged after the attempt.
	 */
	@Test
	void lostAnswerOfAnUnsuspectedServer() {
		addServerEvent(20, BalanceEvent.SUSPECTED, "server i-7 of claims is suspected: failed (seen), suspicion 90%");
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(15, BalanceEvent.GIVEN_UP, "given up as unknown after 5 ms and 1 attempts, last at i-7: reset");
		Truth.assertThat(cause()).contains("may have been run");
		Truth.assertThat(cause()).contains("last at i-7: reset");
		Truth.assertThat(cause()).contains("was not suspected before");
	}

	/**
	 * Guards against a timeline that hides an earlier suspicion of the server, or shows
	 * events of a server whose identifier has the same prefix.
	 */
	@Test
	void lostAnswerOfASuspectedServerShowsEarlierSuspicions() {
		addServerEvent(5, BalanceEvent.SUSPECTED, "server i-7 of claims is suspected: failed (told), suspicion 90%");
		addServerEvent(6, BalanceEvent.SUSPECTED, "server i-70 of claims is suspected: failed (told), suspicion 60%");
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(15, BalanceEvent.GIVEN_UP,
				"given up as unknown after 5 ms and 1 attempts, last at i-7: timed out");
		Truth.assertThat(cause()).contains("was suspected before");
		Truth.assertThat(this.trace.timeline()).contains("known: 2026-03-26T00:00:05Z  edge-2  1207  server i-7 of");
		Truth.assertThat(this.trace.timeline()).doesNotContain("i-70");
	}

	/** Guards against attributing a backend server's error to the daemon. */
	@Test
	void errorStatusIsAttributedToTheServer() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(12, BalanceEvent.ANSWERED, "answered 500 by i-7 after 2 ms and 1 attempts");
		Truth.assertThat(cause()).contains("server i-7 ran the request and answered with status 500");
	}

	/** Guards against late answers whose cause is missing or the same for all. */
	@Test
	void lateAnswersHaveDistinctCauses() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(20, BalanceEvent.ANSWERED, "answered 200 by i-7 after 900 ms and 1 attempts");
		Truth.assertThat(cause()).contains("the server's own time");
		RequestTrace silent = new RequestTrace(REQUEST);
		addLine(silent, 11, BalanceEvent.SECOND_SEND, REQUEST, "unanswered by i-7 for 330 ms, sent to a second server");
		addLine(silent, 20, BalanceEvent.ANSWERED, REQUEST, "answered 200 by i-8 after 900 ms and 2 attempts");
		Truth.assertThat(silent.timeline()).contains("the first server was silent");
		RequestTrace failed = new RequestTrace(REQUEST);
		addLine(failed, 11, BalanceEvent.ATTEMPT_FAILED, REQUEST, "attempt 1 at i-7 failed after 2 ms: status 500");
		addLine(failed, 20, BalanceEvent.ANSWERED, REQUEST, "answered 200 by i-8 after 900 ms and 2 attempts");
		Truth.assertThat(failed.timeline()).contains("an attempt at another server failed before");
	}

	/** Guards against reporting a caller's disconnect as a fault. */
	@Test
	void disconnectOfTheCallerIsReported() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		addRequestEvent(12, BalanceEvent.CALLER_LEFT, "caller left after 2000 ms and 1 attempts");
		Truth.assertThat(cause()).contains("the caller left");
	}

	/**
	 * Guards against a wrong cause for truncated logs, as a killed daemon leaves them.
	 */
	@Test
	void causeOfAnUnfinishedRequestIsUnknown() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		Truth.assertThat(cause()).contains("unknown, the logs end with: attempt 1");
	}

	/** Guards against a timeline in the order of the files instead of that of time. */
	@Test
	void linesOfSeveralDaemonsAreSortedByTime() {
		addRequestEvent(12, BalanceEvent.ANSWERED, "answered 500 by i-7 after 2 ms and 1 attempts");
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		Truth.assertThat(this.trace.timeline().indexOf("attempt 1"))
			.isLessThan(this.trace.timeline().indexOf("answered 500"));
	}

	/** Guards against a damaged log line that stops the reading. */
	@Test
	void malformedLinesAreCountedAndSkipped() {
		addRequestEvent(10, BalanceEvent.SENT, SENT);
		for (String line : new String[] { "no log", "{\"time\":", "{\"time\":\"t\"}", "",
				"{\"time\":1,\"entry\":{}}" }) {
			this.trace.addLine(line, "file");
		}
		Truth.assertThat(this.trace.malformedLineCount()).isEqualTo(4);
		Truth.assertThat(this.trace.isEmpty()).isFalse();
	}

	/** Guards against escape sequences from a server in the operator's terminal. */
	@Test
	void controlCharactersAreReplaced() {
		addRequestEvent(10, BalanceEvent.SENT, "sent to i-\\u001b[2J of claims: x");
		Truth.assertThat(this.trace.timeline()).doesNotContain("\u001b");
	}

	/** Guards against a timeline with events of other requests. */
	@Test
	void otherRequestsAreNotShown() {
		addLine(this.trace, 10, BalanceEvent.SENT, "other", SENT);
		Truth.assertThat(this.trace.isEmpty()).isTrue();
	}

	private String cause() {
		String timeline = this.trace.timeline();
		return timeline.substring(timeline.indexOf("cause: "));
	}

	private void addRequestEvent(int second, BalanceEvent event, String message) {
		addLine(this.trace, second, event, REQUEST, message);
	}

	private void addServerEvent(int second, BalanceEvent event, String message) {
		addLine(this.trace, second, event, "", message);
	}

	private static void addLine(RequestTrace trace, int second, BalanceEvent event, String request, String message) {
		String named = request.isEmpty() ? "" : ",\"request\":\"" + request + "\"";
		trace.addLine(String.format(
				"  -1.5 edge-2 {\"time\":\"2026-03-26T00:00:%02dZ\",\"entry\":{\"event\":%d,\"message\":\"%s\",\"name\":\"%s\"%s}}",
				second, event.number(), message, event.name(), named), "file");
	}

}
