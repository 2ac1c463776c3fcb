package org.wigeonmast.daemon.internal;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.admin.AuditTrail;
import org.wigeonmast.admin.Readiness;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.core.Step;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.membership.Member;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.wire.Slice;

/**
 * The components of a daemon, connected with each other. The core does no I/O itself; it
 * uses {@link Ports}.
 * <p>
 * Thread safety: {@link #receive}, {@link #onRequestEvent}, {@link #readiness()},
 * {@link #isEjected}, {@link #routingManifest()} and {@link #liveDaemons()} can be called
 * from any thread; everything else runs on the control loop. Invariant: a daemon that is
 * stopping is never ready.
 */
public final class DaemonCore implements FleetListener, HealthListener {

	private final EventLog log = new EventLog(DaemonCore.class);

	private final Set<BackendServerId> ejected = ConcurrentHashMap.newKeySet();

	private final DaemonId self;

	private final ControlLoop control;

	private final Ports ports;

	private final AuditTrail trail;

	private final PeerMessenger messenger;

	private final FleetShell fleet;

	private final HealthShell health;

	private final DispatchShell dispatch;

	private final LimitShell limits;

	private final OperatorView operators;

	private volatile Readiness readiness = new Readiness(false, "starting");

	private boolean stopping;

	/**
	 * Creates the components.
	 * @param control the control loop
	 * @param settings the settings
	 * @param self this daemon
	 * @param ports the I/O interfaces of the components
	 * @param random the source of random numbers, which are not used for secrets
	 */
	public DaemonCore(ControlLoop control, DaemonSettings settings, DaemonId self, Ports ports,
			RandomGenerator random) {
		this.control = control;
		this.self = self;
		this.ports = ports;
		this.trail = new AuditTrail(control.clock(), settings.limits().auditEntries());
		this.messenger = new PeerMessenger(control, self, ports.transport());
		this.fleet = new FleetShell(control, settings, self, this.messenger, ports.store(), random, this.trail::add,
				this);
		this.health = new HealthShell(control, self, settings.failureDomain(), this.messenger, this.trail::add, this);
		this.dispatch = new DispatchShell(control, settings.failureDomain().region(), self, this.messenger, this.health,
				random, ports.exchanges(), this.trail::add);
		this.limits = new LimitShell(control, self, this.messenger, this.trail::add);
		this.operators = new OperatorView(control, this.fleet.self(), this.fleet, this.health, this.dispatch,
				this.trail, () -> this.readiness.reason());
	}

	/** Starts the components; to be called on the control loop. */
	public void start() {
		this.messenger.start();
		this.limits.start();
		this.dispatch.start();
		this.health.start();
		this.fleet.start();
	}

	/**
	 * Announces a planned stop: readiness fails and other daemons take over the ownership
	 * of the services of this daemon.
	 */
	public void leave() {
		this.stopping = true;
		this.readiness = new Readiness(false, "stopping");
		recordLifecycle("stopping");
		this.log.log(DaemonEvent.STOPPING, this.dispatch.activeRequests());
		this.fleet.leave();
	}

	/** Stops the components after the last request. */
	public void stop() {
		this.fleet.close();
		this.health.stop();
		this.dispatch.stop();
		this.limits.stop();
	}

	/**
	 * Handles an encoded message from a peer.
	 * @param from the sender
	 * @param address the address on which the sender accepts links
	 * @param slice the slice
	 * @param content the encoded message
	 */
	public void receive(DaemonId from, HostAddress address, Slice slice, byte[] content) {
		this.messenger.receive(from, address, slice, content);
	}

	/**
	 * Handles an event from the proxy.
	 * @param event the event
	 */
	public void onRequestEvent(RequestEvent event) {
		this.control.execute(() -> handle(event));
	}

	/**
	 * Returns the readiness of the daemon.
	 * @return the readiness with its reason
	 */
	public Readiness readiness() {
		return this.readiness;
	}

	/**
	 * Returns the manifest by which requests are routed.
	 * @return the manifest in force, or {@code null} if there is none
	 */
	public @Nullable Manifest routingManifest() {
		return this.dispatch.routingManifest();
	}

	/**
	 * Returns the number of live daemons.
	 * @return the number, at least 1
	 */
	public int liveDaemons() {
		return this.dispatch.liveDaemons();
	}

	/**
	 * Returns whether an ejection of a backend server is in force at this daemon.
	 * @param server the backend server
	 * @return whether it is ejected
	 */
	public boolean isEjected(BackendServerId server) {
		return this.ejected.contains(server);
	}

	/**
	 * Returns the states of the backend servers of a service as used on the request path.
	 * @param service the service
	 * @return the states of the servers that are not fully in service
	 */
	public List<ServerHealth> states(ServiceName service) {
		return this.health.states(service);
	}

	/**
	 * Returns the audit trail.
	 * @return the trail
	 */
	public AuditTrail trail() {
		return this.trail;
	}

	OperatorView operators() {
		return this.operators;
	}

	@Override
	public void onMembersChanged() {
		List<Member> live = this.fleet.liveMembers();
		this.health.onMembersChanged(live, this.fleet.ownership());
		this.dispatch.onMembersChanged(live, this.fleet.ownership());
		this.limits.onMembersChanged(live);
	}

	@Override
	public void onManifestApplied(Manifest manifest) {
		this.dispatch.apply(manifest);
		this.health.apply(manifest);
		this.operators.onManifestApplied();
		onMembersChanged();
	}

	@Override
	public void onReadinessChanged(boolean ready) {
		if (this.stopping) {
			return;
		}
		String reason = ready ? "serves manifest " + this.fleet.versionInForce()
				: "members have to confirm the manifest";
		this.readiness = new Readiness(ready, reason);
		recordLifecycle(ready ? "ready" : "not ready");
		if (ready) {
			this.log.log(DaemonEvent.READY, this.fleet.versionInForce().version());
		}
		else {
			this.log.log(DaemonEvent.NOT_READY, reason);
		}
	}

	@Override
	public void onResumed() {
		this.dispatch.onResumed();
	}

	@Override
	public void onHostsRead(List<PlatformHost> hosts) {
		this.health.onHostsRead(hosts);
	}

	@Override
	public void onHealthChanged(ServiceName service, List<ServerHealth> servers) {
		this.dispatch.onHealthChanged(service, servers);
	}

	@Override
	public void onStatesChanged(ServiceName service) {
		this.dispatch.onStatesChanged(service);
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
		HostAddress address = findAddress(server);
		if (address != null) {
			this.ports.prober()
				.probe(address, (answered) -> this.control.execute(() -> this.health.onProbeEnded(server, answered)));
		}
	}

	private void handle(RequestEvent event) {
		Manifest manifest = this.dispatch.routingManifest();
		if (manifest != null && event instanceof RequestEvent.Accepted accepted) {
			RequestOutcome.NotRun refusal = this.limits.check(manifest, accepted.request());
			if (refusal != null) {
				this.ports.exchanges().accept(new ExchangeCommand.Refuse(accepted.request().id(), refusal));
				return;
			}
		}
		this.dispatch.onRequestEvent(event);
	}

	private @Nullable HostAddress findAddress(BackendServerId id) {
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

	private void recordLifecycle(String state) {
		this.trail.add(new AuditEntry(this.control.clock().milliseconds(), AuditKind.LIFECYCLE, this.self.toString(),
				Step.START, this.self.toString(), Map.of("state", state)));
	}

	/**
	 * The I/O interfaces of the components.
	 *
	 * @param transport sends messages to peers
	 * @param store calls the configuration store
	 * @param exchanges executes commands on requests
	 * @param prober probes backend servers
	 */
	public record Ports(Transport transport, StoreCalls store, Consumer<ExchangeCommand> exchanges, Prober prober) {
	}

}
