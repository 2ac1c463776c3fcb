package org.wigeonmast.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/** Tests of requests that are sent before earlier ones are answered. */
class PipeliningTests {

	private static final int TIMEOUT_SECONDS = 10;

	private static final long LONGER_THAN_A_HEAD_MAY_TAKE_MS = 15_000;

	private static final long SEVERAL_CHECKS_OF_TIMEOUTS_MS = 300;

	private final CountDownLatch secondArrived = new CountDownLatch(1);

	private final CountDownLatch release = new CountDownLatch(1);

	private final AtomicInteger runs = new AtomicInteger();

	/** Answers /s/1 only after another request has arrived, and all others at once. */
	private final ScriptedServer.Script firstWaitsForSecond = (connection) -> {
		while (true) {
			String target = connection.readMessage().split(" ")[1];
			this.runs.incrementAndGet();
			if (target.equals("/s/1")) {
				this.secondArrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
			else {
				this.secondArrived.countDown();
			}
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + target.length() + "\r\nTarget: " + target
					+ "\r\n\r\n" + target);
		}
	};

	// Guards against a refusal on an idle connection that its caller takes for the answer
	// to the next request.
	@ParameterizedTest
	@ValueSource(strings = { "", "\r\n" })
	void connectionThatIsIdleAfterPipelinedRequestsGetsNoRefusal(String lineEnd) throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this.firstWaitsForSecond);
				TestProxy proxy = new TestProxy(backend.description(8));
				RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + get("/s/2") + get("/s/3") + lineEnd);
			for (String target : new String[] { "/s/1", "/s/2", "/s/3" }) {
				assertThat(caller.readMessage()).endsWith(target);
			}
			proxy.advanceTime(LONGER_THAN_A_HEAD_MAY_TAKE_MS);
			this.release.await(SEVERAL_CHECKS_OF_TIMEOUTS_MS, TimeUnit.MILLISECONDS);
			caller.write(get("/s/4"));
			assertThat(caller.readMessage()).endsWith("/s/4");
		}
	}

	// Guards against a head that never ends behind pipelined requests.
	@Test
	void headThatDoesNotArriveInTimeBehindPipelinedRequestsIsRefused() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this.firstWaitsForSecond);
				TestProxy proxy = new TestProxy(backend.description(8));
				RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + get("/s/2") + get("/s/3") + "GET /s");
			for (String target : new String[] { "/s/1", "/s/2", "/s/3" }) {
				assertThat(caller.readMessage()).endsWith(target);
			}
			proxy.advanceTime(LONGER_THAN_A_HEAD_MAY_TAKE_MS);
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 408 ");
		}
	}

	// Guards against short requests that wait behind long ones on the same connection,
	// and against responses out of order when a later one is ready first.
	@Test
	void laterRequestIsWorkedOnAtOnceAndAnsweredInItsTurn() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this.firstWaitsForSecond);
				TestProxy proxy = new TestProxy(backend.description(8));
				RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + get("/s/2") + get("/s/3"));
			for (String target : new String[] { "/s/1", "/s/2", "/s/3" }) {
				assertThat(caller.readMessage()).endsWith(target);
			}
			assertThat(this.runs.get()).isEqualTo(3);
		}
	}

	// Guards against a refusal that is written before earlier responses.
	@Test
	void refusalOfALaterRequestComesInItsTurn() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this.firstWaitsForSecond);
				TestProxy proxy = new TestProxy(backend.description(8));
				RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + get("/s/2") + get("/none"));
			assertThat(caller.readMessage()).endsWith("/s/1");
			assertThat(caller.readMessage()).endsWith("/s/2");
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 404 ");
		}
	}

	// Guards against processing a request early that may not be repeated.
	@Test
	void requestWithABodyWaitsForItsTurn() throws Exception {
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			while (true) {
				connection.readMessage();
				this.runs.incrementAndGet();
				this.release.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			}
		}); TestProxy proxy = new TestProxy(backend.description(8)); RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + "POST /s/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
			proxy.next(RequestEvent.Accepted.class);
			backend.nextConnection();
			assertThat(backend.pendingConnections()).isEqualTo(0);
			this.release.countDown();
			caller.readMessage();
			caller.readMessage();
			assertThat(this.runs.get()).isEqualTo(2);
		}
	}

	// Guards against requests that keep running after their caller closed its connection.
	@Test
	void leavingCallerEndsAllItsRequests() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(RawConnection::readAll);
				TestProxy proxy = new TestProxy(backend.description(8))) {
			RawConnection caller = proxy.connect();
			caller.write(get("/s/1") + get("/s/2"));
			backend.nextConnection();
			backend.nextConnection();
			caller.close();
			proxy.next(RequestEvent.CallerLeft.class);
			proxy.next(RequestEvent.CallerLeft.class);
		}
	}

	// Guards against a drain that aborts a pipelined request that a server already
	// processes.
	@Test
	void drainAnswersRequestsThatAreWorkedOn() throws Exception {
		try (ScriptedServer backend = new ScriptedServer((connection) -> {
			connection.readMessage();
			this.release.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		}); TestProxy proxy = new TestProxy(backend.description(8)); RawConnection caller = proxy.connect()) {
			caller.write(get("/s/1") + get("/s/2"));
			backend.nextConnection();
			backend.nextConnection();
			proxy.server().drain();
			this.release.countDown();
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 200 ");
			assertThat(caller.readMessage()).startsWith("HTTP/1.1 200 ");
		}
	}

	private static String get(String target) {
		return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
	}

}
