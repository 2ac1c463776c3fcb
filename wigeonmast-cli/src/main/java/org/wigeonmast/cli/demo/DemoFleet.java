package org.wigeonmast.cli.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.logging.log4j.Level;
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
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.LimitSettings;
import org.wigeonmast.settings.PeerSettings;
import org.wigeonmast.settings.StoreSettings;

/**
 * Stand-in platform, backend servers and daemons of the demo, all on the loopback
 * address.
 * <p>
 * Thread safety: usable from any thread.
 */
final class DemoFleet implements AutoCloseable {

	/** Number of slots of each backend server. */
	static final int SLOTS = 2;

	private static final int SERVERS = 3;

	private static final int DAEMONS = 3;

	private static final int QUEUE_LIMIT = 20;

	/** Mean service time of the backend servers. */
	private static final long SERVICE_TIME_MS = 20;

	private static final int RESPONSE_SIZE_BYTES = 2_000;

	/** Time that a watch waits; short, so that the demo ends soon. */
	private static final long WATCH_WAIT_MS = 5_000;

	private static final String LOOPBACK = "127.0.0.1";

	private final StandInPlatform platform = new StandInPlatform();

	private final List<StandInBackendServer> servers = new ArrayList<>();

	private final List<DemoDaemon> daemons = new ArrayList<>();

	DemoFleet(long seed) throws InterruptedException {
		for (int i = 1; i <= SERVERS; i++) {
			this.servers.add(new StandInBackendServer("rota-" + i, SLOTS, QUEUE_LIMIT,
					List.of(new RequestProfile("/", SERVICE_TIME_MS, RESPONSE_SIZE_BYTES)), seed + i));
		}
	}

	void start() throws WigeonmastException, IOException {
		this.platform.publish(DemoManifest.createFirstVersion(this.servers, DAEMONS));
		List<HostAddress> peerAddresses = new ArrayList<>();
		for (int i = 0; i < DAEMONS; i++) {
			peerAddresses.add(freeAddress());
		}
		List<PlatformHost> hosts = new ArrayList<>();
		peerAddresses
			.forEach((peerAddress) -> hosts.add(new PlatformHost(PlatformHost.Role.ENTRY, peerAddress, false)));
		this.servers
			.forEach((server) -> hosts.add(new PlatformHost(PlatformHost.Role.BACKEND, server.address(), false)));
		this.platform.publishHosts(hosts);
		FailureDomain domain = new FailureDomain(new Region("addis"), "a");
		SharedKey key = new SharedKey(new byte[SharedKey.MIN_LENGTH_BYTES]);
		for (int i = 0; i < DAEMONS; i++) {
			HostAddress admin = freeAddress();
			DaemonSettings settings = new DaemonSettings("entry-" + (i + 1), domain, Level.ERROR,
					new HostAddress(LOOPBACK, 0), new PeerSettings(peerAddresses.get(i), peerAddresses, key), admin,
					new StoreSettings(this.platform.baseUrl(), StoreSettings.DEFAULT_CALL_TIMEOUT_MS, WATCH_WAIT_MS),
					LimitSettings.defaults());
			Daemon daemon = new Daemon(settings);
			this.daemons.add(new DemoDaemon(settings.name(), daemon, daemon.start().callers(), admin));
		}
	}

	void publishSecondManifest() {
		this.platform.publish(DemoManifest.createSecondVersion(this.servers, DAEMONS));
	}

	List<StandInBackendServer> servers() {
		return this.servers;
	}

	/**
	 * Returns the number of runs of each request.
	 * @return the number of runs by the identifier of the request
	 */
	Map<String, Integer> runCounts() {
		Map<String, Integer> runCounts = new HashMap<>();
		this.servers
			.forEach((server) -> server.startedRequests().forEach((id) -> runCounts.merge(id, 1, Integer::sum)));
		return runCounts;
	}

	List<DemoDaemon> daemons() {
		return this.daemons;
	}

	@Override
	public void close() {
		this.daemons.forEach((daemon) -> daemon.daemon().close());
		this.servers.forEach(StandInBackendServer::close);
		this.platform.close();
	}

	private static HostAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.ofLiteral(LOOPBACK))) {
			return new HostAddress(LOOPBACK, socket.getLocalPort());
		}
	}

	/**
	 * Daemon of the demo.
	 *
	 * @param name the name
	 * @param daemon the daemon
	 * @param callerAddress the address for callers
	 * @param adminAddress the address of the admin interface
	 */
	record DemoDaemon(String name, Daemon daemon, HostAddress callerAddress, HostAddress adminAddress) {

		boolean isEjected(StandInBackendServer server) {
			return this.daemon.isEjected(new BackendServerId(server.name()));
		}

	}

}
