package org.wigeonmast.proxy;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of requests with more than one attempt.
 */
class RetryTests {

	private static final String BODY = "x".repeat(30_000);

	private static final String POST = "POST /s HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + BODY;

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nRequest-Execution: not-run\r\nContent-Length: 2\r\n\r\nno";

	private static ScriptedServer.Script firstThenEcho(ScriptedServer.Script first) {
		AtomicInteger requests = new AtomicInteger();
		return (connection) -> {
			while (true) {
				String request = connection.readMessage();
				if (requests.incrementAndGet() == 1) {
					first.run(connection);
				}
				else {
					String body = request.substring(request.indexOf("\r\n\r\n") + 4);
					connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
				}
			}
		};
	}

	private static ExchangeCommand retry(TestProxy proxy, RequestEvent.AttemptProgress progress) {
		return new ExchangeCommand.StartAttempt(progress.request(), progress.attempt() + 1, proxy.backend(),
				ConnectionRequirement.ANY, Long.MAX_VALUE / 2);
	}

	// Guards against a second attempt whose body is incomplete.
	@Test
	void replaysTheBody() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(firstThenEcho(RawConnection::close));
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.setReaction(
					(progress) -> (progress.report() instanceof AttemptReport.Broken) ? retry(proxy, progress) : null);
			caller.write(POST);
			assertThat(caller.readMessage()).endsWith("\r\n\r\n" + BODY);
		}
	}

	// Guards against relaying the response of an aborted attempt, and against reusing a
	// connection that still carries the rest of that response.
	@Test
	void abortedAttemptIsNotRelayed() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(firstThenEcho((connection) -> connection.write(NOT_RUN)));
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.setReaction((progress) -> {
				if (!(progress.report() instanceof AttemptReport.ResponseStarted started) || !started.notRun()) {
					return null;
				}
				proxy.server().execute(new ExchangeCommand.Abort(progress.request(), progress.attempt()));
				return retry(proxy, progress);
			});
			caller.write(POST);
			assertThat(caller.readMessage()).endsWith("\r\n\r\n" + BODY);
			assertThat(backend.pendingConnections()).isEqualTo(2);
		}
	}

	// Guards against a not-run response to a caller although a server received the
	// request.
	@Test
	void falseNotRunIsCorrected() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(firstThenEcho(RawConnection::close));
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.setReaction((progress) -> new ExchangeCommand.Refuse(progress.request(),
					new RequestOutcome.NotRun("overload", 1000)));
			caller.write(POST);
			String answer = caller.readMessage();
			assertThat(answer).startsWith("HTTP/1.1 502 ");
			assertThat(answer).contains("\"execution\":\"unknown\"");
			assertThat(RawConnection.header(answer, "retry-after")).isEmpty();
		}
	}

	// Guards against relaying a server's not-run although an earlier attempt may have run
	// the request.
	@Test
	void notRunOfALaterAttemptIsNotPassedOn() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (connection) -> {
			connection.readMessage();
			if (requests.incrementAndGet() == 1) {
				connection.close();
			}
			connection.write(NOT_RUN);
		};
		try (ScriptedServer backend = new ScriptedServer(script);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.setReaction(
					(progress) -> (progress.report() instanceof AttemptReport.Broken) ? retry(proxy, progress) : null);
			caller.write(POST);
			String answer = caller.readMessage();
			assertThat(answer).startsWith("HTTP/1.1 503 ");
			assertThat(RawConnection.header(answer, "request-execution")).isEmpty();
		}
	}

}
