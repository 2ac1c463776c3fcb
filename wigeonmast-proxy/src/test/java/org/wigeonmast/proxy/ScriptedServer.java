package org.wigeonmast.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.manifest.BackendServer;

/**
 * Backend server whose connections each run a script on a virtual thread.
 * <p>
 * Thread safety: usable from any thread.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());

	private final BlockingQueue<RawConnection> accepted = new LinkedBlockingQueue<>();

	ScriptedServer(Script script) throws IOException {
		Thread.ofVirtual().start(() -> accept(script));
	}

	/**
	 * Returns a server that answers each request with the same bytes.
	 * @param response the bytes
	 * @return the server
	 */
	static ScriptedServer answering(String response) throws IOException {
		return new ScriptedServer((connection) -> {
			while (true) {
				connection.readMessage();
				connection.write(response);
			}
		});
	}

	BackendServer description(int connections) {
		return new BackendServer(new BackendServerId("board-1"), address(), new FailureDomain(new Region("addis"), "a"),
				2, connections);
	}

	HostAddress address() {
		return new HostAddress("127.0.0.1", this.listener.getLocalPort());
	}

	/**
	 * Returns the next connection that was accepted.
	 * @return the connection
	 */
	RawConnection nextConnection() throws InterruptedException {
		return Awaiting.next(this.accepted);
	}

	int pendingConnections() {
		return this.accepted.size();
	}

	private void accept(Script script) {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				RawConnection connection = new RawConnection(socket);
				this.accepted.add(connection);
				Thread.ofVirtual().start(() -> run(script, connection));
			}
		}
		catch (IOException exception) {
			return;
		}
	}

	private static void run(Script script, RawConnection connection) {
		try {
			script.run(connection);
		}
		catch (Exception exception) {
			connection.close();
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.accepted.forEach(RawConnection::close);
	}

	/** Behaviour of the server on one connection. */
	@FunctionalInterface
	interface Script {

		void run(RawConnection connection) throws Exception;

	}

}
