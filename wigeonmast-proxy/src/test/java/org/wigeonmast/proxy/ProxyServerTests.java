package org.wigeonmast.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * End-to-end tests of exchanges between callers, the proxy and a backend server.
 */
class ProxyServerTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	// Guards against responses that reach the wrong caller when many callers share
	// backend connections.
	@Test
	void callersGetTheirOwnAnswersUnderConcurrentLoad() throws Exception {
		ScriptedServer.Script echo = (connection) -> {
			while (true) {
				String target = connection.readMessage().split(" ")[1];
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + target.length() + "\r\n\r\n" + target);
			}
		};
		try (ScriptedServer backend = new ScriptedServer(echo);
				TestProxy proxy = new TestProxy(backend.description(64));
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<Integer>> results = new ArrayList<>();
			for (int caller = 0; caller < 32; caller++) {
				String name = "/s/" + caller;
				results.add(callers.submit(sendRepeatedly(proxy, name, 50)));
			}
			for (Future<Integer> result : results) {
				assertThat(result.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(50);
			}
		}
	}

	private static Callable<Integer> sendRepeatedly(TestProxy proxy, String name, int count) {
		return () -> {
			int answered = 0;
			try (RawConnection connection = proxy.connect()) {
				for (int i = 0; i < count; i++) {
					connection.write("GET " + name + "/" + i + " HTTP/1.1\r\nHost: a\r\n\r\n");
					assertThat(connection.readMessage()).endsWith("\r\n\r\n" + name + "/" + i);
					answered++;
				}
			}
			return answered;
		};
	}

	// Guards against a truncated body that a caller mistakes for a complete one.
	@Test
	void shortBodyBreaksTheTransfer() throws Exception {
		ScriptedServer.Script truncate = (connection) -> {
			connection.readMessage();
			connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
			connection.close();
		};
		try (ScriptedServer backend = new ScriptedServer(truncate);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(caller.readAll()).doesNotContain("\r\n0\r\n");
			assertThat(proxy.nextReport(AttemptReport.Broken.class).responseStarted()).isTrue();
		}
	}

	// Guards against forwarding a request that matches no route, and against a refusal
	// that does not state that the request was not run.
	@Test
	void refusesWithoutRoute() throws Exception {
		try (ScriptedServer backend = ScriptedServer.answering(OK);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /other HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-7\r\n\r\n");
			String answer = caller.readAll();
			assertThat(answer).startsWith("HTTP/1.1 404 ");
			assertThat(answer).contains("\"execution\":\"not-run\"");
			assertThat(answer).contains("\"instance\":\"urn:wigeonmast:request:r-7\"");
		}
	}

	// Guards against a request that keeps running after its caller closed its connection.
	@Test
	void leavingCallerClosesTheBackendConnection() throws Exception {
		CompletableFuture<Void> started = new CompletableFuture<>();
		CompletableFuture<String> rest = new CompletableFuture<>();
		ScriptedServer.Script wait = (connection) -> {
			connection.readMessage();
			started.complete(null);
			rest.complete(connection.readAll());
		};
		try (ScriptedServer backend = new ScriptedServer(wait);
				TestProxy proxy = new TestProxy(backend.description(4))) {
			RawConnection caller = proxy.connect();
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
			started.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			caller.close();
			proxy.next(RequestEvent.CallerLeft.class);
			assertThat(rest.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEmpty();
		}
	}

	// Guards against refusing callers that connect just before a daemon has loaded its
	// routes.
	@Test
	void callersWaitUnreadUntilTheProxyAccepts() throws Exception {
		CompletableFuture<RequestEvent> accepted = new CompletableFuture<>();
		try (ProxyServer proxy = new ProxyServer(ProxyConfiguration.defaults(new HostAddress("127.0.0.1", 0)),
				MillisecondClock.system(), () -> new FakeManifest(1000), accepted::complete, new MetricRegistry())) {
			HostAddress address = proxy.listen();
			try (RawConnection caller = RawConnection.to(address)) {
				caller.write("GET /s HTTP/1.1\r\nHost: h\r\n\r\n");
				assertThat(accepted.isDone()).isFalse();
				proxy.accept();
				assertThat(accepted.get(10, TimeUnit.SECONDS)).isInstanceOf(RequestEvent.Accepted.class);
			}
		}
	}

}
