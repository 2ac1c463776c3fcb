package org.wigeonmast.daemon.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.CoordinatorInput;
import org.wigeonmast.dispatch.DispatchCodec;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.DispatchMode;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.OwnedServices;
import org.wigeonmast.dispatch.OwnerInput;
import org.wigeonmast.dispatch.QueueOrder;
import org.wigeonmast.dispatch.RequestCoordinator;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.ownership.Ownership;
import org.wigeonmast.wire.Slice;

/**
 * Shell of dispatch: the coordinator of requests accepted here and the services owned by
 * this daemon.
 * <p>
 * Thread safety: confined to the control loop, except {@link #routingManifest()} and
 * {@link #liveDaemons()}. Invariant: the coordinator receives a manifest before the first
 * request that is routed by it.
 */
final class DispatchShell {

	/** Interval at which the time of day is read. */
	private static final long TIME_OF_DAY_INTERVAL_MS = 10_000;

	private final EventLog log = new EventLog(DispatchShell.class);

	private final Set<ServiceName> services = new HashSet<>();

	private final Map<ServiceName, DispatchMode> modes = new HashMap<>();

	private final ControlLoop control;

	private final Region region;

	private final RequestCoordinator coordinator;

	private final ComponentDriver<CoordinatorInput, DispatchEffect> coordinatorDriver;

	private final ComponentDriver<OwnerInput, DispatchEffect> ownerDriver;

	private final SliceEndpoint<DispatchMessage> endpoint;

	private final HealthShell health;

	private final Consumer<ExchangeCommand> exchanges;

	private final Consumer<AuditEntry> audit;

	private volatile @Nullable Manifest routingManifest;

	private volatile int liveDaemons = 1;

	private Set<DaemonId> live = Set.of();

	DispatchShell(ControlLoop control, Region region, DaemonId self, PeerMessenger messenger, HealthShell health,
			RandomGenerator random, Consumer<ExchangeCommand> exchanges, Consumer<AuditEntry> audit) {
		this.control = control;
		this.region = region;
		this.health = health;
		this.exchanges = exchanges;
		this.audit = audit;
		this.coordinator = new RequestCoordinator(self, region, random);
		this.coordinatorDriver = new ComponentDriver<>(control, this.coordinator, this::applyCoordinatorEffect);
		this.ownerDriver = new ComponentDriver<>(control,
				new OwnedServices(control.clock().milliseconds(), self, region, QueueOrder.FIRST_IN_FIRST_OUT),
				this::applyOwnerEffect);
		this.endpoint = messenger.register(Slice.DISPATCH, new DispatchCodec(),
				(from, message) -> receive(from.id(), message));
	}

	void start() {
		readTimeOfDay();
		this.coordinatorDriver.start();
		this.ownerDriver.start();
	}

	void stop() {
		this.coordinatorDriver.stop();
		this.ownerDriver.stop();
	}

	void onRequestEvent(RequestEvent event) {
		this.coordinatorDriver.handle(new CoordinatorInput.ProxyReport(event));
	}

	@Nullable Manifest routingManifest() {
		return this.routingManifest;
	}

	int liveDaemons() {
		return this.liveDaemons;
	}

	DispatchMode mode(ServiceName service) {
		return this.modes.getOrDefault(service, DispatchMode.DIRECT);
	}

	int activeRequests() {
		return this.coordinator.activeRequests();
	}

	void apply(Manifest manifest) {
		Set<ServiceName> removed = new HashSet<>(this.services);
		for (Service service : manifest.services()) {
			removed.remove(service.name());
			this.services.add(service.name());
			this.coordinatorDriver.handle(new CoordinatorInput.ServiceChanged(service));
			this.ownerDriver.handle(new OwnerInput.ServiceChanged(service));
		}
		this.coordinatorDriver.handle(new CoordinatorInput.RegionsChanged(
				manifest.daemons().keySet().stream().map(FailureDomain::region).collect(Collectors.toSet())));
		this.routingManifest = manifest;
		for (ServiceName service : removed) {
			this.services.remove(service);
			this.modes.remove(service);
			this.coordinatorDriver.handle(new CoordinatorInput.ServiceRemoved(service));
			this.ownerDriver.handle(new OwnerInput.ServiceRemoved(service));
		}
	}

	void onMembersChanged(Collection<Member> members, Ownership ownership) {
		this.liveDaemons = Math.max(1, members.size());
		Set<DaemonId> current = members.stream().map(Member::id).collect(Collectors.toSet());
		for (DaemonId daemon : this.live) {
			if (!current.contains(daemon)) {
				this.ownerDriver.handle(new OwnerInput.DaemonDead(daemon));
			}
		}
		this.live = current;
		Manifest manifest = this.routingManifest;
		if (manifest == null) {
			return;
		}
		this.ownerDriver.handle(new OwnerInput.DaemonsChanged(
				members.stream().filter((member) -> member.region().equals(this.region)).map(Member::id).toList(),
				declaredDaemons(manifest)));
		Set<Region> regions = members.stream().map(Member::region).collect(Collectors.toSet());
		for (ServiceName service : this.services) {
			this.ownerDriver
				.handle(new OwnerInput.OwnersChanged(service, rankedOwners(ownership, service, this.region)));
			for (Region other : regions) {
				this.coordinatorDriver.handle(
						new CoordinatorInput.OwnersChanged(service, other, rankedOwners(ownership, service, other)));
			}
		}
	}

	void onResumed() {
		this.ownerDriver.handle(new OwnerInput.Paused());
	}

	void onHealthChanged(ServiceName service, List<ServerHealth> servers) {
		this.ownerDriver.handle(new OwnerInput.HealthChanged(service,
				servers.stream().map((server) -> new DispatchMessage.AdvisedServer(server, 0)).toList()));
	}

	void onStatesChanged(ServiceName service) {
		this.coordinatorDriver.handle(new CoordinatorInput.HealthChanged(service, this.health.states(service)));
	}

	private void receive(DaemonId sender, DispatchMessage message) {
		if (message instanceof DispatchMessage.OutcomeReport report) {
			this.health.onOutcomeReport(sender, report);
		}
		else if (message instanceof DispatchMessage.DispatchAdvice advice) {
			this.modes.put(advice.service(), advice.mode());
		}
		this.ownerDriver.handle(new OwnerInput.Received(sender, message));
		this.coordinatorDriver.handle(new CoordinatorInput.Received(sender, message));
	}

	private void applyOwnerEffect(DispatchEffect effect) {
		if (effect instanceof DispatchEffect.ReportObservation observed) {
			this.health.onPooledObservation(observed.observation());
		}
		else {
			applyEffect(effect);
		}
	}

	private void applyCoordinatorEffect(DispatchEffect effect) {
		if (effect instanceof DispatchEffect.ReportObservation observed) {
			this.health.onLocalObservation(observed.observation());
		}
		else {
			applyEffect(effect);
		}
	}

	private void applyEffect(DispatchEffect effect) {
		switch (effect) {
			case DispatchEffect.Exchange exchange -> this.exchanges.accept(exchange.command());
			case DispatchEffect.Send send -> this.endpoint.send(send.receiver(), send.message());
			case DispatchEffect.ApplyAdvice advice ->
				this.health.onAdvice(advice.owner(), advice.service(), advice.servers());
			case DispatchEffect.ReportLeaving leaving ->
				this.health.onLeavingStated(leaving.service(), leaving.server());
			case DispatchEffect.Audit entry -> this.audit.accept(entry.entry());
			case DispatchEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
			case DispatchEffect.ReportObservation _, DispatchEffect.Ended _ -> {
				// Observations are handled by the calling methods, and the proxy counts
				// outcomes.
			}
		}
	}

	// Idempotency keys contain the time of day of their creation, so the coordinator
	// needs the current offset between the time of day and the monotonic time.
	private void readTimeOfDay() {
		MillisecondClock clock = this.control.clock();
		this.coordinatorDriver
			.handle(new CoordinatorInput.TimeOfDay(clock.timeOfDay().toEpochMilli() - clock.milliseconds()));
		this.control.schedule(TIME_OF_DAY_INTERVAL_MS, this::readTimeOfDay);
	}

	private int declaredDaemons(Manifest manifest) {
		return manifest.daemons()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().region().equals(this.region))
			.mapToInt((entry) -> entry.getValue())
			.sum();
	}

	private static List<DaemonId> rankedOwners(Ownership ownership, ServiceName service, Region region) {
		return ownership.rankedMembers(service, region).stream().map(Member::id).toList();
	}

}
