package org.wigeonmast.proxy;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.manifest.BackendServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of attempts and of the connections to a backend server.
 */
class AttemptTests {

	private static final String GET = "GET /s HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	// Guards against reporting a refused connection as if the request could have been
	// run, and against a response without Retry-After.
	@Test
	void refusedConnectionSendsNothing() throws Exception {
		// A socket that is bound and does not listen refuses connections and keeps its
		// port.
		try (Socket bound = new Socket(); ScriptedServer other = ScriptedServer.answering(OK)) {
			bound.bind(new InetSocketAddress("127.0.0.1", 0));
			BackendServer template = other.description(4);
			BackendServer unreachable = new BackendServer(template.id(),
					new HostAddress("127.0.0.1", bound.getLocalPort()), template.failureDomain(), template.slots(),
					template.connections());
			try (TestProxy proxy = new TestProxy(unreachable); RawConnection caller = proxy.connect()) {
				caller.write(GET);
				String answer = caller.readMessage();
				assertThat(answer).startsWith("HTTP/1.1 503 ");
				assertThat(RawConnection.header(answer, "retry-after")).isEqualTo("2");
				assertThat(RawConnection.header(answer, "request-execution")).isEqualTo("not-run");
				assertThat(answer).contains("\"execution\":\"not-run\"");
			}
		}
	}

	// Guards against reporting a request as not run that reached a server.
	@Test
	void connectionClosedAfterTheRequestIsBroken() throws Exception {
		ScriptedServer.Script close = (connection) -> {
			connection.readMessage();
			connection.close();
		};
		try (ScriptedServer backend = new ScriptedServer(close);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			String answer = caller.readMessage();
			assertThat(answer).startsWith("HTTP/1.1 502 ");
			assertThat(answer).contains("\"execution\":\"unknown\"");
			assertThat(RawConnection.header(answer, "retry-after")).isEmpty();
			assertThat(proxy.nextReport(AttemptReport.Broken.class).responseStarted()).isFalse();
		}
	}

	// Guards against relaying a late response to the next request on the same connection.
	@Test
	void timedOutConnectionIsNotReused() throws Exception {
		AtomicInteger connections = new AtomicInteger();
		CompletableFuture<String> rest = new CompletableFuture<>();
		ScriptedServer.Script firstIsSilent = (connection) -> {
			connection.readMessage();
			if (connections.incrementAndGet() == 1) {
				rest.complete(connection.readAll());
			}
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(firstIsSilent);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\nRequest-Timeout: 1000\r\n\r\n");
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 504 ");
			assertThat(proxy.nextReport(AttemptReport.Broken.class).timedOut()).isTrue();
			assertThat(rest.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEmpty();
			caller.write(GET);
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
		}
	}

	// Guards against sending non-idempotent requests on a connection that may be dead;
	// other requests reuse it.
	@ParameterizedTest
	@CsvSource({ "ANY, 1000, 1", "PROVEN, 1000, 1", "ANY, 1001, 1", "PROVEN, 1001, 2" })
	void provenConnectionsAreRecent(ConnectionRequirement requirement, long idle, int connections) throws Exception {
		try (ScriptedServer backend = ScriptedServer.answering(OK);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			proxy.freezeTime();
			proxy.setRequirement(requirement);
			caller.write(GET);
			caller.readMessage();
			proxy.nextReport(AttemptReport.Completed.class);
			proxy.advanceTime(idle);
			caller.write(GET);
			caller.readMessage();
			proxy.nextReport(AttemptReport.Completed.class);
			assertThat(backend.pendingConnections()).isEqualTo(connections);
		}
	}

	// Guards against idle connections that stay open forever.
	@Test
	void idleConnectionsAgeOut() throws Exception {
		CompletableFuture<String> rest = new CompletableFuture<>();
		ScriptedServer.Script once = (connection) -> {
			connection.readMessage();
			connection.write(OK);
			rest.complete(connection.readAll());
		};
		try (ScriptedServer backend = new ScriptedServer(once);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			caller.readMessage();
			proxy.nextReport(AttemptReport.Completed.class);
			proxy.advanceTime(ProxyConfiguration.Timeouts.DEFAULTS.backendIdle());
			assertThat(rest.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEmpty();
		}
	}

	// Guards against exceeding this daemon's share of the server's connection limit.
	@Test
	void connectionsAreBounded() throws Exception {
		CompletableFuture<Void> reached = new CompletableFuture<>();
		CompletableFuture<Void> release = new CompletableFuture<>();
		ScriptedServer.Script wait = (connection) -> {
			connection.readMessage();
			reached.complete(null);
			release.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(wait);
				TestProxy proxy = new TestProxy(backend.description(3));
				RawConnection first = proxy.connect();
				RawConnection second = proxy.connect()) {
			proxy.server().setLiveDaemons(() -> 3);
			first.write(GET);
			reached.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			second.write(GET);
			assertThat(second.readMessage()).startsWith("HTTP/1.1 503 ");
			proxy.nextReport(AttemptReport.NothingSent.class);
			release.complete(null);
			assertThat(first.readMessage()).endsWith("ok");
		}
	}

	// Guards against unsolicited bytes that are mistaken for the next response.
	@Test
	void unsolicitedBytesCloseTheConnection() throws Exception {
		ScriptedServer.Script twice = (connection) -> {
			while (true) {
				connection.readMessage();
				connection.write(OK + OK.replace("ok", "no"));
			}
		};
		try (ScriptedServer backend = new ScriptedServer(twice);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			for (int i = 0; i < 10; i++) {
				caller.write(GET);
				assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
			}
		}
	}

	// Guards against responses with ambiguous framing.
	@ParameterizedTest
	@CsvSource({ "Content-Length: 2;Transfer-Encoding: chunked", "Content-Length: 2;Content-Length: 3",
			"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Content-Length: x" })
	void ambiguousResponsesBreak(String fields) throws Exception {
		String response = "HTTP/1.1 200 OK\r\n" + fields.replace(";", "\r\n") + "\r\n\r\n0\r\n\r\n";
		try (ScriptedServer backend = ScriptedServer.answering(response);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 502 ");
		}
	}

	// Guards against an unsolicited protocol switch.
	@Test
	void switchingProtocolsBreaks() throws Exception {
		try (ScriptedServer backend = ScriptedServer
			.answering("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n");
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 502 ");
		}
	}

	// Guards against load shedding or leaving signals that are not reported to dispatch.
	@ParameterizedTest
	@CsvSource({ "Request-Execution: not-run, true, false", "Server-State: leaving, false, true",
			"Connection: close, false, true", "X: y, false, false" })
	void readsServerStates(String field, boolean notRun, boolean leaving) throws Exception {
		String response = "HTTP/1.1 503 Busy\r\n" + field + "\r\nContent-Length: 0\r\n\r\n";
		try (ScriptedServer backend = ScriptedServer.answering(response);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(GET);
			String answer = caller.readMessage();
			assertThat(answer).startsWith("HTTP/1.1 503 ");
			assertThat(RawConnection.header(answer, "server-state")).isEmpty();
			assertThat(proxy.nextReport(AttemptReport.ResponseStarted.class))
				.isEqualTo(new AttemptReport.ResponseStarted(503, notRun, leaving));
		}
	}

}
