package org.wigeonmast.proxy;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.wigeonmast.manifest.BackendServer;

/**
 * Backend server that answers the request {@link #FIRST_ID} and then sends further bytes
 * on the same connection; requests on other connections get plain answers.
 * <p>
 * Thread safety: usable from any thread.
 */
final class RepeatingServer implements AutoCloseable {

	/** Identifier of the request whose answer is repeated. */
	static final String FIRST_ID = "t0";

	/** Identifier of the request that follows on the same connection. */
	static final String SECOND_ID = "t1";

	private final Map<String, Integer> received = new ConcurrentHashMap<>();

	private final CountDownLatch firstDelivered = new CountDownLatch(1);

	private final CountDownLatch idleBytesSent = new CountDownLatch(1);

	private final ScriptedServer server;

	/**
	 * Starts a server.
	 * @param firstAnswer the answer to the first request, with what follows at once
	 * @param whileIdle the bytes that follow while no request is in progress
	 * @param secondAnswer the bytes that follow the next request on the connection
	 */
	RepeatingServer(String firstAnswer, String whileIdle, String secondAnswer) throws IOException {
		this.server = new ScriptedServer((connection) -> {
			String id = receive(connection);
			if (!id.equals(FIRST_ID)) {
				connection.write(answer(id));
				receive(connection);
				return;
			}
			connection.write(firstAnswer);
			this.firstDelivered.await(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
			connection.write(whileIdle);
			this.idleBytesSent.countDown();
			receive(connection);
			connection.write(secondAnswer);
			connection.readAll();
		});
	}

	/**
	 * Returns the answer to a request, whose body no other answer has.
	 * @param id the identifier of the request
	 * @return the answer
	 */
	static String answer(String id) {
		String body = body(id);
		return "HTTP/1.1 200 OK\r\nTry-Id: " + id + "\r\nProof: p\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	static String body(String id) {
		return "own answer of " + id;
	}

	BackendServer description() {
		return this.server.description(4);
	}

	/** Lets the server send the bytes that follow the first answer and waits for them. */
	void sendIdleBytes() throws InterruptedException {
		this.firstDelivered.countDown();
		this.idleBytesSent.await(Awaiting.TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Returns how often a request arrived.
	 * @param id the identifier of the request
	 * @return the number of times
	 */
	int timesReceived(String id) {
		return this.received.getOrDefault(id, 0);
	}

	private String receive(RawConnection connection) throws IOException {
		String id = RawConnection.header(connection.readMessage(), "try-id");
		this.received.merge(id, 1, Integer::sum);
		return id;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
