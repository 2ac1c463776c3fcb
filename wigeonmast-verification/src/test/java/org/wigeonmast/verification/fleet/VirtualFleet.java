package org.wigeonmast.verification.fleet;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.apache.logging.log4j.Level;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.SharedKey;
import org.wigeonmast.daemon.internal.DaemonCore;
import org.wigeonmast.daemon.internal.Transport;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.WorkClass;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.LimitSettings;
import org.wigeonmast.settings.PeerSettings;
import org.wigeonmast.settings.StoreSettings;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeNetwork;
import org.wigeonmast.wire.Slice;

/**
 * Daemons with their real decisions, backend servers and a store in virtual time.
 * <p>
 * Thread safety: none. Invariants: a run depends on its seed and the calls only; the
 * oracle observes every daemon each {@link #OBSERVATION_MICROSECONDS}.
 */
final class VirtualFleet {

	static final ServiceName SERVICE = new ServiceName("rota-board");

	static final int DAEMONS = 3;

	static final int SERVERS = 4;

	static final int FLOOR = 2;

	private static final long OBSERVATION_MICROSECONDS = 20_000;

	private static final long READINESS_GRACE_MILLISECONDS = 2000;

	private static final long CHANGE_BOUND_MILLISECONDS = 8000;

	private static final long READY_BOUND_MILLISECONDS = 40_000;

	private static final long STOP_CHECK_MILLISECONDS = 50;

	private static final long STOP_BOUND_MILLISECONDS = 30_000;

	private static final FailureDomain DOMAIN = new FailureDomain(new Region("addis"), "a");

	private static final SharedKey KEY = new SharedKey(
			"a key of at least thirty-two bytes".getBytes(StandardCharsets.US_ASCII));

	final EventQueue queue = new EventQueue();

	final FleetOracle oracle = new FleetOracle();

	final VirtualProxy.Faults faults = new VirtualProxy.Faults();

	final List<VirtualServer> servers = new ArrayList<>();

	final List<VirtualDaemon> daemons = new ArrayList<>();

	final FakeNetwork<HostAddress, Packet> network;

	final VirtualStore store;

	private final Map<HostAddress, VirtualServer> serversByAddress = new HashMap<>();

	private final RandomGenerator random;

	private long version = 1;

	private long incarnations = 1;

	private int requests;

	VirtualFleet(long seed) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.network = new FakeNetwork<>(this.queue, this.random, (from, to) -> 500);
		for (int index = 0; index < SERVERS; index++) {
			HostAddress address = new HostAddress("127.0.1." + (index + 1), 8080);
			VirtualServer server = new VirtualServer("server-" + index, address, this.queue, this.random, this.oracle);
			this.servers.add(server);
			this.serversByAddress.put(address, server);
		}
		this.store = new VirtualStore(this.queue, manifest(this.version), () -> this.faults.reached.accept("store"));
		for (int index = 0; index < DAEMONS; index++) {
			this.daemons.add(start(index));
		}
		this.queue.schedule(OBSERVATION_MICROSECONDS, this::observe);
	}

	static HostAddress address(int daemon) {
		return new HostAddress("127.0.0." + (daemon + 1), 7000);
	}

	void run(long milliseconds) {
		this.queue.runUntil(this.queue.microseconds() + milliseconds * EventQueue.MICROSECONDS_PER_MILLISECOND);
	}

	/**
	 * Sends a request to a daemon if the load balancer would.
	 * @param index the daemon
	 * @param idempotent whether it may run twice
	 * @param longWork whether it is long work
	 * @return the request, or {@code null} if the daemon takes none
	 */
	@Nullable RequestId request(int index, boolean idempotent, boolean longWork) {
		VirtualDaemon daemon = this.daemons.get(index);
		if (daemon.dead || daemon.refusesCallers || daemon.core.routingManifest() == null
				|| !(daemon.leaving || daemon.core.readiness().ready())) {
			return null;
		}
		RequestId id = new RequestId("r" + this.requests++);
		long duration = longWork ? 300 : 20;
		daemon.loop.execute(() -> {
			if (daemon.refusesCallers) {
				return;
			}
			long deadline = this.queue.milliseconds() + 2000;
			this.oracle.accepted(id, daemon.id, idempotent, deadline);
			daemon.proxy.accept(id, new VirtualProxy.Work(duration, longWork ? 100 : 5));
			this.faults.reached.accept("accept");
			daemon.core.onRequestEvent(new RequestEvent.Accepted(new RequestDescription(id, new CallerId("crew"),
					SERVICE, longWork ? WorkClass.LONG : WorkClass.SHORT, idempotent, deadline, true, null, 0)));
		});
		run(0);
		return id;
	}

	void pause(int index) {
		this.daemons.get(index).loop.pause();
	}

	void resume(int index) {
		VirtualDaemon daemon = this.daemons.get(index);
		if (!daemon.dead && daemon.loop.isPaused()) {
			this.oracle.resumed(daemon.id, this.queue.milliseconds());
			daemon.loop.resume();
		}
	}

	void crash(int index) {
		VirtualDaemon daemon = this.daemons.get(index);
		if (!daemon.dead) {
			end(daemon);
			this.oracle.crashed(daemon.id);
		}
	}

	/**
	 * Replaces a daemon that has ended by one that starts empty.
	 * @param index the daemon
	 */
	void replace(int index) {
		if (this.daemons.get(index).dead) {
			this.daemons.set(index, start(index));
		}
	}

	void stop(int index) {
		VirtualDaemon daemon = this.daemons.get(index);
		if (daemon.runs() && !daemon.leaving) {
			daemon.leaving = true;
			daemon.loop.execute(daemon.core::leave);
			daemon.loop.schedule(READINESS_GRACE_MILLISECONDS, () -> {
				daemon.refusesCallers = true;
				awaitEnd(daemon, this.queue.milliseconds() + STOP_BOUND_MILLISECONDS);
			});
		}
	}

	void publish() {
		this.store.publish(manifest(++this.version));
	}

	long published() {
		return this.version;
	}

	/** Ends all faults except leaving servers, and ends the run when all has settled. */
	List<String> settle() {
		this.network.heal();
		this.network.setLoss(0);
		this.store.setDown(false);
		this.store.setStale(false);
		this.servers.forEach((server) -> {
			server.faults().setSlowdown(1);
			server.faults().setFailureShare(0);
			server.faults().setSilent(false);
			server.setRefusing(false);
		});
		for (int index = 0; index < DAEMONS; index++) {
			resume(index);
		}
		run(CHANGE_BOUND_MILLISECONDS);
		checkManifests();
		run(READY_BOUND_MILLISECONDS - CHANGE_BOUND_MILLISECONDS);
		checkReadiness();
		return this.oracle.finish(this.queue.milliseconds());
	}

	private void checkManifests() {
		for (VirtualDaemon daemon : this.daemons) {
			Manifest routing = daemon.core.routingManifest();
			if (!daemon.dead && (routing == null || routing.version() != this.version)) {
				this.oracle.violation(daemon.id + " follows manifest " + ((routing != null) ? routing.version() : 0)
						+ " and not " + this.version + " 8 s after all faults ended");
			}
		}
	}

	private void checkReadiness() {
		for (VirtualDaemon daemon : this.daemons) {
			if (!daemon.dead && !daemon.leaving && !daemon.core.readiness().ready()) {
				this.oracle.violation(
						daemon.id + " is not ready 40 s after all faults ended: " + daemon.core.readiness().reason());
			}
		}
	}

	private void observe() {
		this.servers.forEach(VirtualServer::recordRuns);
		Map<DaemonId, Set<String>> ejected = new HashMap<>();
		for (VirtualDaemon daemon : this.daemons) {
			if (daemon.runs()) {
				ejected.put(daemon.id, daemon.ejected(SERVICE));
				Manifest routing = daemon.core.routingManifest();
				this.oracle.version(daemon.id, (routing != null) ? routing.version() : 0);
			}
		}
		this.oracle.ejections(ejected, SERVERS - FLOOR);
		this.queue.schedule(OBSERVATION_MICROSECONDS, this::observe);
	}

	private void awaitEnd(VirtualDaemon daemon, long bound) {
		if (this.oracle.open(daemon.id) > 0 && this.queue.milliseconds() < bound) {
			daemon.loop.schedule(STOP_CHECK_MILLISECONDS, () -> awaitEnd(daemon, bound));
			return;
		}
		this.oracle.stopped(daemon.id);
		daemon.core.stop();
		// The last messages of the components leave before the process ends.
		daemon.loop.schedule(STOP_CHECK_MILLISECONDS, () -> end(daemon));
	}

	private void end(VirtualDaemon daemon) {
		daemon.dead = true;
		daemon.loop.end();
		this.network.remove(daemon.address);
	}

	private VirtualDaemon start(int index) {
		HostAddress address = address(index);
		DaemonId id = new DaemonId("daemon-" + index, this.incarnations++);
		VirtualLoop loop = new VirtualLoop(this.queue,
				() -> this.oracle.violation("a timer of " + id.name() + " spins without any time passing"));
		DaemonCore[] core = new DaemonCore[1];
		VirtualProxy proxy = new VirtualProxy(this.queue, loop, id, this.oracle, this.serversByAddress::get,
				(event) -> core[0].onRequestEvent(event), this.faults);
		RandomGenerator own = RandomGeneratorFactory.of("L64X128MixRandom").create(this.random.nextLong());
		core[0] = new DaemonCore(loop, settings(id, address), id,
				new DaemonCore.Ports(transport(id, address), this.store, proxy::execute, (server, result) -> this.queue
					.schedule(25_000, () -> result.accept(!this.serversByAddress.get(server).isRefusing()))),
				own);
		VirtualDaemon daemon = new VirtualDaemon(id, address, loop, proxy, core[0]);
		this.network.register(address,
				(from, packet) -> daemon.core.receive(packet.sender, from, packet.slice, packet.content));
		loop.execute(daemon.core::start);
		return daemon;
	}

	private Transport transport(DaemonId id, HostAddress address) {
		return new Transport() {

			@Override
			public HostAddress address() {
				return address;
			}

			@Override
			public void send(HostAddress to, Slice slice, byte[] content) {
				VirtualFleet.this.faults.reached.accept(slice.name());
				VirtualFleet.this.network.send(address, to, new Packet(id, slice, content));
			}

		};
	}

	private static DaemonSettings settings(DaemonId id, HostAddress address) {
		List<HostAddress> seeds = new ArrayList<>();
		for (int index = 0; index < DAEMONS; index++) {
			seeds.add(address(index));
		}
		HostAddress unused = new HostAddress("127.0.0.1", 0);
		return new DaemonSettings(id.name(), DOMAIN, Level.INFO, unused, new PeerSettings(address, seeds, KEY), unused,
				new StoreSettings(URI.create("http://127.0.0.1:1")), LimitSettings.defaults());
	}

	private PublishedManifest manifest(long number) {
		StringBuilder list = new StringBuilder();
		for (VirtualServer server : this.servers) {
			list.append(list.isEmpty() ? "" : ",")
				.append("{\"id\": \"%s\", \"address\": \"%s\", \"domain\": \"addis/a\", \"slots\": 2, \"connections\": 330}"
					.formatted(server.name, server.address));
		}
		String part = """
				{"domains": [{"name": "addis/a", "daemons": %d}],
				 "services": [{"name": "rota-board", "floor": %d, "longShare": 0.5, "servers": [%s]}],
				 "routes": [
				  {"path": "/board", "service": "rota-board", "class": "short", "idempotent": true, "timeoutMilliseconds": %d}],
				 "callers": []}
				"""
			.formatted(DAEMONS, FLOOR, list, 1000 + number);
		return PublishedManifest.of(number, Map.of("all", part));
	}

	/**
	 * Describes in a few words what a caller was told.
	 * @param outcome the outcome, or {@code null} for none yet
	 * @return the words
	 */
	static String words(@Nullable RequestOutcome outcome) {
		return switch (outcome) {
			case null -> "nothing";
			case RequestOutcome.Answered(int status) -> "answered " + status;
			case RequestOutcome.NotRun _ -> "not run";
			case RequestOutcome.Unknown(String reason) ->
				reason.equals("the daemon crashed") ? "connection broken" : "unknown";
		};
	}

	/**
	 * A message between daemons.
	 *
	 * @param sender the sender
	 * @param slice the slice
	 * @param content the encoded message
	 */
	record Packet(DaemonId sender, Slice slice, byte[] content) {
	}

}
