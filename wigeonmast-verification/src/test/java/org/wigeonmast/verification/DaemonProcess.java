package org.wigeonmast.verification;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.daemon.DaemonAddresses;
import org.wigeonmast.daemon.Main;

/**
 * A {@code wigeonmastd} process on loopback.
 * <p>
 * Thread safety: one test uses an instance.
 */
final class DaemonProcess {

	private static final int HTTP_OK = 200;

	private static final long EXIT_SECONDS = 60;

	private final Process process;

	private final DaemonAddresses addresses;

	private DaemonProcess(Process process, DaemonAddresses addresses) {
		this.process = process;
		this.addresses = addresses;
	}

	static DaemonProcess start(String name, Path directory, URI store, List<HostAddress> seeds) throws IOException {
		DaemonAddresses addresses = freeAddresses();
		Path settings = directory.resolve(name + ".ini");
		Files.writeString(settings,
				"""
						[daemon]
						name = %s
						region = addis
						failure-domain = a
						[callers]
						address = 127.0.0.1
						port = %d
						[peers]
						address = 127.0.0.1
						port = %d
						seeds = %s
						shared-key = %s
						[admin]
						address = 127.0.0.1
						port = %d
						[store]
						base-url = %s
						""".formatted(name, addresses.callers().port(), addresses.peers().port(),
						seeds.stream().map(HostAddress::toString).collect(Collectors.joining(", ")), "0f".repeat(32),
						addresses.operators().port(), store));
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx128m", "-cp", System.getProperty("java.class.path"), Main.class.getName(), "--settings",
				settings.toString())
			.redirectErrorStream(true)
			.redirectOutput(directory.resolve(name + ".log").toFile())
			.start();
		return new DaemonProcess(process, addresses);
	}

	DaemonAddresses addresses() {
		return this.addresses;
	}

	boolean isReady() {
		return readinessStatus() == HTTP_OK;
	}

	/**
	 * Returns the status of the readiness check.
	 * @return the HTTP status, or 0 if nobody answers
	 */
	int readinessStatus() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + this.addresses.operators() + "/ready")
				.toURL()
				.openConnection();
			return connection.getResponseCode();
		}
		catch (IOException exception) {
			return 0;
		}
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	/** Sends SIGKILL. */
	void kill() {
		this.process.destroyForcibly();
	}

	int awaitExit() throws InterruptedException {
		if (!this.process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
			throw new AssertionError("the daemon did not exit within " + EXIT_SECONDS + " s");
		}
		return this.process.exitValue();
	}

	private static DaemonAddresses freeAddresses() throws IOException {
		List<HostAddress> free = new ArrayList<>();
		List<ServerSocket> sockets = new ArrayList<>();
		for (int count = 0; count < 3; count++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			sockets.add(socket);
			free.add(new HostAddress(LoopbackFleet.LOOPBACK, socket.getLocalPort()));
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return new DaemonAddresses(free.get(0), free.get(1), free.get(2));
	}

}
