package org.wigeonmast.verification;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.Level;
import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.cli.standin.RequestProfile;
import org.wigeonmast.cli.standin.StandInBackendServer;
import org.wigeonmast.cli.standin.StandInPlatform;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.SharedKey;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.Daemon;
import org.wigeonmast.daemon.DaemonAddresses;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.LimitSettings;
import org.wigeonmast.settings.PeerSettings;
import org.wigeonmast.settings.StoreSettings;

/**
 * A stand-in platform, stand-in backend servers and daemons in this process on loopback.
 * <p>
 * Thread safety: one test uses an instance.
 */
final class LoopbackFleet implements AutoCloseable {

	static final String LOOPBACK = "127.0.0.1";

	static final int SHORT_SIZE = 3000;

	static final int LONG_SIZE = 2_000_000;

	private static final long WAIT_SECONDS = 30;

	private static final int SLOTS = 2;

	private static final SharedKey KEY = new SharedKey(
			"a key of at least thirty-two bytes".getBytes(StandardCharsets.US_ASCII));

	private static final FailureDomain DOMAIN = new FailureDomain(new Region("addis"), "a");

	private final StandInPlatform platform;

	private final List<StandInBackendServer> servers = new ArrayList<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<DaemonProcess> processes = new ArrayList<>();

	private final List<DaemonAddresses> addresses = new ArrayList<>();

	LoopbackFleet(int serverCount) throws InterruptedException {
		this.platform = new StandInPlatform();
		for (int index = 0; index < serverCount; index++) {
			this.servers.add(new StandInBackendServer(
					"server-" + index, SLOTS, 100, List.of(new RequestProfile("/board", 2, SHORT_SIZE),
							new RequestProfile("/print", 20, LONG_SIZE), new RequestProfile("/claim", 2, SHORT_SIZE)),
					index));
		}
	}

	void publish(long version) {
		StringBuilder list = new StringBuilder();
		for (StandInBackendServer server : this.servers) {
			list.append(list.isEmpty() ? "" : ",")
				.append("{\"id\": \"%s\", \"address\": \"%s\", \"domain\": \"addis/a\", \"slots\": 2, \"connections\": 330}"
					.formatted(server.name(), server.address()));
		}
		String part = """
				{"domains": [{"name": "addis/a", "daemons": 3}],
				 "services": [{"name": "rota-board", "floor": 1, "longShare": 0.5, "servers": [%s]}],
				 "routes": [
				  {"path": "/board", "service": "rota-board", "class": "short", "idempotent": true, "timeoutMilliseconds": 10000},
				  {"path": "/print", "service": "rota-board", "class": "long", "idempotent": true, "timeoutMilliseconds": 20000},
				  {"path": "/claim", "service": "rota-board", "class": "short", "idempotent": false, "timeoutMilliseconds": 10000}],
				 "callers": []}
				"""
			.formatted(list);
		this.platform.publish(PublishedManifest.of(version, Map.of("all", part)));
	}

	StandInPlatform platform() {
		return this.platform;
	}

	List<StandInBackendServer> servers() {
		return this.servers;
	}

	Daemon startDaemon(String name) throws WigeonmastException {
		List<HostAddress> seeds = this.addresses.stream().map(DaemonAddresses::peers).toList();
		HostAddress free = new HostAddress(LOOPBACK, 0);
		DaemonSettings settings = new DaemonSettings(name, DOMAIN, Level.INFO, free, new PeerSettings(free, seeds, KEY),
				free, new StoreSettings(this.platform.baseUrl()), LimitSettings.defaults());
		Daemon daemon = new Daemon(settings);
		this.addresses.add(daemon.start());
		this.daemons.add(daemon);
		return daemon;
	}

	/**
	 * Starts a daemon as a process of its own.
	 * @param name its name
	 * @param directory where its settings file and output are written
	 * @return the process
	 */
	DaemonProcess startProcess(String name, Path directory) throws IOException {
		List<HostAddress> seeds = this.addresses.stream().map(DaemonAddresses::peers).toList();
		DaemonProcess process = DaemonProcess.start(name, directory, this.platform.baseUrl(), seeds);
		this.addresses.add(process.addresses());
		this.processes.add(process);
		return process;
	}

	void awaitReady() {
		await(() -> this.daemons.stream().allMatch(Daemon::isReady)
				&& this.processes.stream().allMatch(DaemonProcess::isReady), "all daemons are ready");
	}

	boolean isEjected(String server) {
		return this.daemons.stream().anyMatch((daemon) -> daemon.isEjected(new BackendServerId(server)));
	}

	String url(int daemon, String path) {
		return "http://" + this.addresses.get(daemon).callers() + path;
	}

	/**
	 * Waits for a condition and fails when it does not hold in time.
	 * @param condition the condition
	 * @param description what is waited for
	 */
	static void await(BooleanSupplier condition, String description) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new AssertionError("not reached in " + WAIT_SECONDS + " s: " + description);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	@Override
	public void close() {
		this.daemons.forEach(Daemon::close);
		this.processes.forEach(DaemonProcess::kill);
		this.servers.forEach(StandInBackendServer::close);
		this.platform.close();
	}

}
