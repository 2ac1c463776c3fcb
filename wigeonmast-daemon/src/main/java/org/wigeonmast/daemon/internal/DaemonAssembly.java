package org.wigeonmast.daemon.internal;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.admin.AdminServer;
import org.wigeonmast.admin.AdminSources;
import org.wigeonmast.admin.AuditTrail;
import org.wigeonmast.admin.Readiness;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.DaemonAddresses;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.membership.Member;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.wire.LinkSettings;

/**
 * Creates the parts of a daemon, connects them, and stops them in order.
 * <p>
 * Thread safety: the public methods can be called from any thread; the parts run on the
 * control thread.
 */
public final class DaemonAssembly implements FleetListener, HealthListener, AutoCloseable {

	/** Algorithm of the random numbers that decide nothing secret. */
	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	/**
	 * Time in milliseconds between failing readiness and refusing connections, in which
	 * the platform's load balancer notices.
	 */
	private static final long READINESS_GRACE_MILLISECONDS = 2000;

	private final EventLog log = new EventLog(DaemonAssembly.class);

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final DaemonSettings settings;

	private final DaemonId self;

	private final ControlThread control;

	private final PeerMessenger messenger;

	private final FleetShell fleet;

	private final HealthShell health;

	private final DispatchShell dispatch;

	private final BackendProber prober = new BackendProber();

	private final MetricRegistry metrics = new MetricRegistry();

	private final AuditTrail trail;

	private final OperatorView operators;

	private volatile String reason = "starting";

	private volatile @Nullable AdminServer admin;

	private final Set<BackendServerId> ejected = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean closed = new AtomicBoolean();

	private volatile boolean ready;

	private volatile boolean stopping;

	/**
	 * Creates the parts and opens the listener for links.
	 * @param settings the settings
	 * @param clock the clock
	 * @throws WigeonmastException if the address for links cannot be bound
	 */
	public DaemonAssembly(DaemonSettings settings, MillisecondClock clock) throws WigeonmastException {
		this.settings = settings;
		// The time of day makes the incarnation higher than that of earlier starts on a
		// host without a disk.
		this.self = new DaemonId(settings.name(), clock.timeOfDay().toEpochMilli());
		this.control = new ControlThread(clock);
		this.trail = new AuditTrail(clock, settings.limits().auditEntries());
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(new SecureRandom().nextLong());
		this.messenger = new PeerMessenger(this.control,
				new LinkSettings(this.self, settings.peers().address(), settings.peers().key()));
		this.fleet = new FleetShell(this.control, settings, this.self, this.messenger, random, this::audit, this);
		this.health = new HealthShell(this.control, this.self, settings.failureDomain(), this.messenger, this::audit,
				this);
		this.dispatch = new DispatchShell(this.control, settings, this.self, this.messenger, this.health, random,
				this.metrics, this::audit);
		this.operators = new OperatorView(this.control, this.fleet.self(), this.fleet, this.health, this.dispatch,
				this.trail, () -> this.reason);
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @return the addresses
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public DaemonAddresses start() throws WigeonmastException {
		AdminServer operatorServer = new AdminServer(this.settings.admin(),
				new AdminSources(() -> new Readiness(isReady(), this.reason), this.operators::status,
						this.operators::explain, this.trail, this.metrics));
		this.admin = operatorServer;
		HostAddress callers = this.dispatch.start();
		this.control.execute(() -> {
			this.messenger.start();
			this.health.start();
			this.fleet.start();
		});
		DaemonAddresses addresses = new DaemonAddresses(callers, this.messenger.address(), operatorServer.address());
		this.log.log(DaemonEvent.STARTED, this.self, addresses.callers(), addresses.peers(), addresses.operators());
		return addresses;
	}

	/**
	 * Returns whether the daemon is ready to serve.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.ready && !this.stopping;
	}

	/**
	 * Returns whether this daemon follows an ejection of a backend server.
	 * @param server the backend server
	 * @return whether it is ejected
	 */
	public boolean isEjected(BackendServerId server) {
		return this.ejected.contains(server);
	}

	/**
	 * Stops gracefully.
	 * @return completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		this.control.execute(this::beginStop);
		return this.stopped;
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			AdminServer operatorServer = this.admin;
			if (operatorServer != null) {
				operatorServer.close();
			}
			this.dispatch.close();
			this.prober.close();
			this.messenger.close();
			this.control.close();
		}
	}

	@Override
	public void membersChanged() {
		List<Member> live = this.fleet.live();
		this.health.membersChanged(live, this.fleet.ownership());
		this.dispatch.membersChanged(live, this.fleet.ownership());
	}

	@Override
	public void manifestApplied(Manifest manifest) {
		this.dispatch.apply(manifest);
		this.health.apply(manifest);
		this.operators.manifestApplied();
		membersChanged();
	}

	@Override
	public void readinessChanged(boolean isReady) {
		this.ready = isReady;
		this.reason = isReady ? "serves manifest " + this.fleet.inForce() : "members have to confirm the manifest";
		lifecycle(isReady ? "ready" : "not ready");
		if (isReady) {
			this.log.log(DaemonEvent.READY, this.fleet.inForce().version());
		}
		else {
			this.log.log(DaemonEvent.NOT_READY, this.reason);
		}
	}

	@Override
	public void resumed() {
		this.dispatch.resumed();
	}

	@Override
	public void hostsRead(List<PlatformHost> hosts) {
		this.health.hostsRead(hosts);
	}

	@Override
	public void judged(ServiceName service, List<ServerHealth> servers) {
		this.dispatch.judged(service, servers);
	}

	@Override
	public void statesChanged(ServiceName service) {
		this.dispatch.statesChanged(service);
		for (ServerHealth server : this.health.states(service)) {
			if (server.state() == ServerHealth.State.EJECTED) {
				this.ejected.add(server.server());
			}
			else {
				this.ejected.remove(server.server());
			}
		}
	}

	@Override
	public void probe(BackendServerId server) {
		HostAddress address = address(server);
		if (address != null) {
			this.prober.probe(address,
					(answered) -> this.control.execute(() -> this.health.probeEnded(server, answered)));
		}
	}

	private @Nullable HostAddress address(BackendServerId id) {
		Manifest manifest = this.fleet.manifest();
		if (manifest == null) {
			return null;
		}
		return manifest.services()
			.stream()
			.flatMap((service) -> service.servers().stream())
			.filter((server) -> server.id().equals(id))
			.map(BackendServer::address)
			.findFirst()
			.orElse(null);
	}

	private void beginStop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.reason = "stopping";
		lifecycle("stopping");
		this.log.log(DaemonEvent.STOPPING, this.dispatch.active());
		this.fleet.leave();
		this.control.schedule(READINESS_GRACE_MILLISECONDS,
				() -> this.dispatch.drain().whenComplete((ignored, failure) -> this.control.execute(this::endStop)));
	}

	private void endStop() {
		this.fleet.close();
		this.health.stop();
		close();
		this.log.log(DaemonEvent.STOPPED);
		this.stopped.complete(null);
	}

	private void lifecycle(String state) {
		audit(new AuditEntry(this.control.clock().milliseconds(), AuditKind.LIFECYCLE, this.self.toString(), Step.START,
				this.self.toString(), Map.of("state", state)));
	}

	private void audit(AuditEntry entry) {
		this.trail.add(entry);
	}

}
