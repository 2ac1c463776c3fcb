package org.wigeonmast.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PeerLinks} over loopback sockets.
 */
class PeerLinksTests {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int WAIT_SECONDS = 20;

	private static final SharedKey KEY = new SharedKey(
			"0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII));

	private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();

	private final PeerLinks receiver = open("receiver", KEY, 0,
			(from, address, slice, content) -> this.received.add(new Received(from, address, slice, content)));

	private final PeerLinks sender = open("sender", KEY, 0, (from, address, slice, content) -> {
	});

	PeerLinksTests() throws LinkListenerException {
	}

	@AfterEach
	void close() {
		this.sender.close();
		this.receiver.close();
	}

	// Guards against frames that are lost or truncated when they arrive in the TCP
	// segment of the handshake.
	@Test
	void messagesSentWhileConnectingArriveInOrder() throws InterruptedException {
		for (int index = 0; index < 100; index++) {
			this.sender.send(this.receiver.address(), Slice.MEMBERSHIP, new byte[] { (byte) index });
		}
		for (int index = 0; index < 100; index++) {
			Received message = next();
			assertThat(message.from).isEqualTo(new DaemonId("sender", 7));
			assertThat(message.address).isEqualTo(this.sender.address());
			assertThat(message.slice).isEqualTo(Slice.MEMBERSHIP);
			assertThat(message.content).isEqualTo(new byte[] { (byte) index });
		}
	}

	// Guards against a frame limit that is too small for a manifest part of maximum size.
	@Test
	void largestManifestPartArrivesUnchanged() throws InterruptedException {
		byte[] content = new byte[1_050_000];
		Arrays.fill(content, (byte) 42);
		this.sender.send(this.receiver.address(), Slice.MANIFEST, content);
		assertThat(next().content).isEqualTo(content);
	}

	// Guards against messages from a daemon that does not hold the fleet's key.
	@Test
	void messagesOfPeerWithAnotherKeyAreDropped() throws Exception {
		SharedKey otherKey = new SharedKey("another key here that is long enough".getBytes(StandardCharsets.US_ASCII));
		try (PeerLinks stranger = open("stranger", otherKey, 0, (from, address, slice, content) -> {
		})) {
			stranger.send(this.receiver.address(), Slice.DISPATCH, new byte[] { 1 });
			this.sender.send(this.receiver.address(), Slice.DISPATCH, new byte[] { 2 });
			assertThat(next().from.name()).isEqualTo("sender");
			stranger.send(this.receiver.address(), Slice.DISPATCH, new byte[] { 3 });
			this.sender.send(this.receiver.address(), Slice.DISPATCH, new byte[] { 4 });
			assertThat(next().content).isEqualTo(new byte[] { 4 });
		}
	}

	// Guards against frames that do not belong to the protocol or are too large, and that
	// leave the connection open or disturb the links of other peers.
	@Test
	void foreignAndOversizedFramesCloseTheConnection() throws Exception {
		byte[] oversized = ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).putInt(1).array();
		byte[] foreign = "GET / HTTP/1.1\r\nHost: wigeonmast\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
		byte[] negative = ByteBuffer.allocate(4).putInt(-1).array();
		byte[] noMessage = ByteBuffer.allocate(8).putInt(4).putInt(-1).array();
		for (byte[] frame : new byte[][] { oversized, foreign, negative, noMessage }) {
			assertThat(countResponseBytes(frame)).isEqualTo(0);
		}
		this.sender.send(this.receiver.address(), Slice.HEALTH, new byte[] { 5 });
		assertThat(next().content).isEqualTo(new byte[] { 5 });
	}

	// Guards against a link that does not reconnect after its peer restarted on the same
	// address.
	@Test
	void linkReconnectsAfterPeerRestarted() throws Exception {
		this.sender.send(this.receiver.address(), Slice.LIMIT, new byte[] { 1 });
		next();
		HostAddress address = this.receiver.address();
		this.receiver.close();
		PeerLinks restarted = null;
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (restarted == null && System.nanoTime() < end) {
			restarted = tryOpen(address.port());
		}
		assertThat(restarted).isNotNull();
		Received message = null;
		while (message == null && System.nanoTime() < end) {
			this.sender.send(address, Slice.LIMIT, new byte[] { 2 });
			message = this.received.poll(50, TimeUnit.MILLISECONDS);
		}
		restarted.close();
		assertThat(message).isNotNull();
		assertThat(message.content).isEqualTo(new byte[] { 2 });
	}

	private PeerLinks tryOpen(int port) {
		try {
			return open("receiver", KEY, port,
					(from, address, slice, content) -> this.received.add(new Received(from, address, slice, content)));
		}
		catch (LinkListenerException exception) {
			return null;
		}
	}

	private int countResponseBytes(byte[] frame) throws IOException {
		try (Socket socket = new Socket(LOOPBACK, this.receiver.address().port())) {
			socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			socket.getOutputStream().write(frame);
			InputStream input = socket.getInputStream();
			return input.readAllBytes().length;
		}
	}

	private Received next() throws InterruptedException {
		Received message = this.received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(message).isNotNull();
		return message;
	}

	private static PeerLinks open(String name, SharedKey key, int port, MessageListener listener)
			throws LinkListenerException {
		return PeerLinks.open(new LinkSettings(new DaemonId(name, 7), new HostAddress(LOOPBACK, port), key), listener);
	}

	private record Received(DaemonId from, HostAddress address, Slice slice, byte[] content) {
	}

}
