package org.wigeonmast.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a traffic thread that stood still, so that its timers are late while input has
 * arrived that it has not read.
 */
class LateTimerTests {

	private static final String GET = "GET /s/late HTTP/1.1\r\nHost: h\r\nTry-Id: t1\r\nTime-Left: 5000\r\n\r\n";

	private static final String GET_OF_OTHER_CALLER = "GET /s HTTP/1.1\r\nHost: h\r\nTry-Id: t0\r\nTime-Left: 5000\r\n\r\n";

	/** Longer than the interval of the checks of timeouts. */
	private static final long STANDSTILL_MS = 300;

	private static final long LONG_TIME_MS = 20_000;

	private final CountDownLatch standstill = new CountDownLatch(1);

	private final CountDownLatch end = new CountDownLatch(1);

	private final AtomicBoolean stopped = new AtomicBoolean();

	// Guards against closing an idle connection on which a request has arrived.
	@Test
	void requestThatArrivedOnAnIdleConnectionIsAnswered() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this::answer);
				TestProxy proxy = stoppingProxy(backend);
				RawConnection idle = proxy.connect();
				RawConnection other = proxy.connect()) {
			proxy.server().drain();
			other.write(GET_OF_OTHER_CALLER);
			this.standstill.await();
			idle.write(GET);
			proxy.advanceTime(LONG_TIME_MS);
			endStandstill();
			assertThat(idle.readMessage()).endsWith("\r\n\r\nt1");
		}
	}

	// Guards against giving up an answer that has arrived before its deadline.
	@Test
	void answerThatArrivedBeforeItsDeadlineIsDelivered() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this::answer);
				TestProxy proxy = stoppingProxy(backend);
				RawConnection caller = proxy.connect();
				RawConnection other = proxy.connect()) {
			caller.write(GET.replace("5000", "250"));
			proxy.next(RequestEvent.Accepted.class);
			other.write(GET_OF_OTHER_CALLER);
			endStandstill();
			assertThat(caller.readMessage()).endsWith("\r\n\r\nt1");
		}
	}

	// Guards against closing the listener while connections wait to be accepted, which
	// resets them.
	@Test
	void connectionThatWaitsToBeAcceptedIsServed() throws Exception {
		try (ScriptedServer backend = new ScriptedServer(this::answer);
				TestProxy proxy = stoppingProxy(backend);
				RawConnection other = proxy.connect()) {
			proxy.server().drain();
			other.write(GET_OF_OTHER_CALLER);
			this.standstill.await();
			try (RawConnection waiting = proxy.connect()) {
				waiting.write(GET);
				proxy.advanceTime(LONG_TIME_MS / 10);
				endStandstill();
				assertThat(waiting.readMessage()).endsWith("\r\n\r\nt1");
			}
		}
	}

	private TestProxy stoppingProxy(ScriptedServer backend) throws Exception {
		TestProxy proxy = TestProxy.holdingResponses(backend.description(4));
		proxy.setReaction((progress) -> {
			if (progress.report() instanceof AttemptReport.ResponseStarted && this.stopped.compareAndSet(false, true)) {
				this.standstill.countDown();
				awaitEnd();
			}
			return null;
		});
		return proxy;
	}

	private void awaitEnd() {
		try {
			this.end.await();
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
		}
	}

	private void endStandstill() throws InterruptedException {
		this.standstill.await();
		this.end.await(STANDSTILL_MS, TimeUnit.MILLISECONDS);
		this.end.countDown();
	}

	// Answers the request of the caller under test only while the traffic thread stands
	// still or later.
	private void answer(RawConnection connection) throws Exception {
		while (true) {
			String request = connection.readMessage();
			if (request.startsWith("GET /s/late")) {
				this.standstill.await();
			}
			String id = RawConnection.header(request, "try-id");
			connection.write("HTTP/1.1 200 OK\r\nTry-Id: " + id + "\r\nProof: p\r\nContent-Length: 2\r\n\r\n" + id);
		}
	}

}
