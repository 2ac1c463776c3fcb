package org.wigeonmast.proxy;

import java.net.ConnectException;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.buffer.PooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.RequestEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of streamed bodies and of the drain.
 */
class StreamingTests {

	private static final int PIECE_BYTES = 64 * 1024;

	private static final int PIECE_COUNT = 1500;

	/** Bytes that the proxy may use for a body of {@link #PIECE_COUNT} pieces. */
	private static final long MEMORY_LIMIT_BYTES = 24L * 1024 * 1024;

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	// Guards against buffering the whole response for a slow caller, and against losing
	// its end when the server closes the connection before the caller has read it.
	@Test
	void downloadIsHeldBackByTheCaller() throws Exception {
		CompletableFuture<Void> written = new CompletableFuture<>();
		ScriptedServer.Script send = (connection) -> {
			connection.readMessage();
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + (long) PIECE_COUNT * PIECE_BYTES + "\r\n\r\n");
			for (int i = 0; i < PIECE_COUNT; i++) {
				connection.write(new byte[PIECE_BYTES]);
			}
			written.complete(null);
			connection.close();
		};
		try (ScriptedServer backend = new ScriptedServer(send);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
			caller.readHead();
			long before = usedMemory();
			assertThat(isDoneSoon(written)).isFalse();
			assertThat(usedMemory() - before).isLessThan(MEMORY_LIMIT_BYTES);
			for (int i = 0; i < PIECE_COUNT; i++) {
				assertThat(caller.read(PIECE_BYTES).length).isEqualTo(PIECE_BYTES);
			}
			written.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			proxy.nextReport(AttemptReport.Completed.class);
		}
	}

	// Guards against buffering the whole request for a slow server.
	@Test
	void uploadIsHeldBackByTheServer() throws Exception {
		CompletableFuture<Void> written = new CompletableFuture<>();
		CompletableFuture<Long> used = new CompletableFuture<>();
		ScriptedServer.Script receive = (connection) -> {
			connection.readHead();
			long before = usedMemory();
			used.complete(isDoneSoon(written) ? Long.MAX_VALUE : usedMemory() - before);
			for (int i = 0; i < PIECE_COUNT; i++) {
				assertThat(connection.read(PIECE_BYTES).length).isEqualTo(PIECE_BYTES);
			}
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(receive);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write(
					"PUT /s HTTP/1.1\r\nHost: a\r\nContent-Length: " + (long) PIECE_COUNT * PIECE_BYTES + "\r\n\r\n");
			for (int i = 0; i < PIECE_COUNT; i++) {
				caller.write(new byte[PIECE_BYTES]);
			}
			written.complete(null);
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
			assertThat(used.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(MEMORY_LIMIT_BYTES);
			assertThat(proxy.next(RequestEvent.Accepted.class).request().replayable()).isFalse();
		}
	}

	// Guards against a stack overflow by many chunks in one read.
	@Test
	void manySmallChunksArrive() throws Exception {
		int chunks = 40_000;
		CompletableFuture<Integer> received = new CompletableFuture<>();
		ScriptedServer.Script receive = (connection) -> {
			received.complete(Integer.parseInt(RawConnection.header(connection.readMessage(), "content-length")));
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(receive);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("PUT /s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
			caller.write("1\r\na\r\n".repeat(chunks) + "0\r\n\r\n");
			assertThat(caller.readMessage()).endsWith("\r\n\r\nok");
			assertThat(received.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(chunks);
		}
	}

	// Guards against losing a response that the server sent before it read the whole
	// request.
	@Test
	void earlyAnswerReachesTheCaller() throws Exception {
		ScriptedServer.Script refuse = (connection) -> {
			connection.readHead();
			connection.write("HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno");
			connection.readAll();
		};
		try (ScriptedServer backend = new ScriptedServer(refuse);
				TestProxy proxy = new TestProxy(backend.description(4));
				RawConnection caller = proxy.connect()) {
			caller.write("PUT /s HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\nabc");
			String answer = caller.readAll();
			assertThat(answer).startsWith("HTTP/1.1 413 ");
			assertThat(answer).endsWith("\r\n\r\nno");
			assertThat(RawConnection.header(answer, "connection")).isEqualTo("close");
		}
	}

	// Guards against chunked bodies that exceed the limit.
	@Test
	void chunkedBodyIsBounded() throws Exception {
		ProxyConfiguration.Limits small = new ProxyConfiguration.Limits(1000, 1000, 100_000, 1000, 10_000, 1000);
		try (ScriptedServer backend = new ScriptedServer(RawConnection::readAll);
				TestProxy proxy = new TestProxy(backend.description(4),
						(configuration) -> new ProxyConfiguration(configuration.bindAddress(),
								configuration.daemonName(), configuration.callerConnections(), small,
								configuration.timeouts()));
				RawConnection caller = proxy.connect()) {
			caller.write("PUT /s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int i = 0; i < 11; i++) {
				caller.write("2710\r\n" + "x".repeat(10_000) + "\r\n");
			}
			String answer = caller.readAll();
			assertThat(answer).startsWith("HTTP/1.1 413 ");
			assertThat(answer).contains("\"execution\":\"unknown\"");
			proxy.next(RequestEvent.CallerLeft.class);
		}
	}

	// Guards against a drain that aborts a transfer or keeps accepting connections.
	@Test
	void drainFinishesADownload() throws Exception {
		CompletableFuture<Void> drained = new CompletableFuture<>();
		ScriptedServer.Script send = (connection) -> {
			connection.readMessage();
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + 2 * PIECE_BYTES + "\r\n\r\n");
			connection.write(new byte[PIECE_BYTES]);
			drained.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			connection.write(new byte[PIECE_BYTES]);
			connection.readMessage();
			connection.write(OK);
		};
		try (ScriptedServer backend = new ScriptedServer(send);
				TestProxy proxy = new TestProxy(backend.description(1));
				RawConnection caller = proxy.connect()) {
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
			caller.readHead();
			CompletableFuture<Void> finished = proxy.server().drain();
			assertThat(refusesConnections(proxy)).isTrue();
			assertThat(finished.isDone()).isFalse();
			drained.complete(null);
			assertThat(caller.read(2 * PIECE_BYTES).length).isEqualTo(2 * PIECE_BYTES);
			caller.write("GET /s HTTP/1.1\r\nHost: a\r\n\r\n");
			String answer = caller.readAll();
			assertThat(answer).endsWith("\r\n\r\nok");
			assertThat(RawConnection.header(answer, "connection")).isEqualTo("close");
			caller.close();
			finished.get(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
	}

	// A connection that waits in the accept queue when the listener closes is reset; only
	// a refusal shows that it has closed.
	private static boolean refusesConnections(TestProxy proxy) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Awaiting.TIMEOUT_SECONDS);
		while (System.nanoTime() < end) {
			try {
				proxy.connect().close();
			}
			catch (ConnectException exception) {
				return true;
			}
			catch (SocketException exception) {
				continue;
			}
		}
		return false;
	}

	// A transfer whose receiver does not read finishes within a fraction of this time if
	// there is no back-pressure.
	private static boolean isDoneSoon(CompletableFuture<Void> transfer) throws Exception {
		try {
			transfer.get(1, TimeUnit.SECONDS);
			return true;
		}
		catch (TimeoutException exception) {
			return false;
		}
	}

	private static long usedMemory() {
		return PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
	}

}
