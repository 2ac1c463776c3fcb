package org.wigeonmast.daemon.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.health.ActiveEjections;
import org.wigeonmast.health.Availability;
import org.wigeonmast.health.Explanation;
import org.wigeonmast.health.HealthCodec;
import org.wigeonmast.health.HealthEffect;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.HealthMessage;
import org.wigeonmast.health.HealthMonitor;
import org.wigeonmast.health.Observation;
import org.wigeonmast.health.PathMonitor;
import org.wigeonmast.health.PromiseManager;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.health.ServicePlan;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.ownership.Ownership;
import org.wigeonmast.wire.Slice;

/**
 * Shell of the health components: the monitors of owned services, the promises of this
 * daemon and the ejections in force at it.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a monitor exists exactly for
 * the services that this daemon, by its own view, owns in its region.
 */
final class HealthShell {

	private final EventLog log = new EventLog(HealthShell.class);

	private final Map<ServiceName, Monitor> monitors = new HashMap<>();

	private final Map<ServiceName, ServicePlan> plans = new HashMap<>();

	private final LeavingServers leaving = new LeavingServers();

	private final ServerStates states = new ServerStates();

	private final ControlLoop control;

	private final DaemonId self;

	private final FailureDomain domain;

	private final Consumer<AuditEntry> audit;

	private final HealthListener listener;

	private final ActiveEjections view;

	private final ComponentDriver<HealthInput, HealthEffect> viewDriver;

	private final ComponentDriver<HealthInput, HealthEffect> promiseDriver;

	private final ComponentDriver<HealthInput, HealthEffect> pathDriver;

	private final SliceEndpoint<HealthMessage> endpoint;

	private Set<BackendServerId> unavailable = Set.of();

	private List<Member> members = List.of();

	HealthShell(ControlLoop control, DaemonId self, FailureDomain domain, PeerMessenger messenger,
			Consumer<AuditEntry> audit, HealthListener listener) {
		this.control = control;
		this.self = self;
		this.domain = domain;
		this.audit = audit;
		this.listener = listener;
		this.view = new ActiveEjections(self);
		this.viewDriver = new ComponentDriver<>(control, this.view, this::applyEffect);
		this.promiseDriver = new ComponentDriver<>(control, new PromiseManager(domain, control.clock().milliseconds()),
				this::applyEffect);
		this.pathDriver = new ComponentDriver<>(control, new PathMonitor(self), this::applyEffect);
		this.endpoint = messenger.register(Slice.HEALTH, new HealthCodec(),
				(from, message) -> receive(from.id(), message));
	}

	void start() {
		this.viewDriver.start();
		this.promiseDriver.start();
		this.pathDriver.start();
	}

	void stop() {
		this.viewDriver.stop();
		this.promiseDriver.stop();
		this.pathDriver.stop();
		this.monitors.values().forEach((monitor) -> monitor.driver.stop());
	}

	void apply(Manifest manifest) {
		Set<ServiceName> removed = new HashSet<>(this.plans.keySet());
		for (Service service : manifest.services()) {
			removed.remove(service.name());
			ServicePlan plan = ServicePlan.of(manifest, service);
			if (!plan.equals(this.plans.put(service.name(), plan))) {
				sendToAll(service.name(), new HealthInput.PlanChanged(plan));
			}
		}
		for (ServiceName service : removed) {
			this.plans.remove(service);
			this.states.remove(service);
			sendToAll(service, new HealthInput.ServiceRemoved(service));
		}
		this.leaving.apply(manifest);
		updateLeaving();
	}

	void onMembersChanged(Collection<Member> live, Ownership ownership) {
		this.members = List.copyOf(live);
		this.states.retainOwners(live.stream().map(Member::id).collect(Collectors.toSet()));
		Map<FailureDomain, List<DaemonId>> voters = live.stream()
			.collect(Collectors.groupingBy(Member::failureDomain, Collectors.mapping(Member::id, Collectors.toList())));
		for (ServicePlan plan : this.plans.values()) {
			Member owner = ownership.owner(plan.service(), this.domain.region());
			setMonitored(plan, owner != null && owner.id().equals(this.self));
		}
		this.monitors.keySet().retainAll(this.plans.keySet());
		this.monitors.values().forEach((monitor) -> monitor.driver.handle(new HealthInput.VotersChanged(voters)));
	}

	// Handles an observation pooled from all daemons by the owner side of this daemon.
	void onPooledObservation(Observation observation) {
		Monitor monitor = this.monitors.get(observation.service());
		if (monitor != null) {
			monitor.driver.handle(new HealthInput.RequestObserved(observation, 0));
		}
	}

	// Handles an observation from this daemon's own requests.
	void onLocalObservation(Observation observation) {
		this.pathDriver.handle(new HealthInput.RequestObserved(observation, 0));
	}

	// Handles a daemon's report of its attempts in flight.
	void onOutcomeReport(DaemonId sender, DispatchMessage.OutcomeReport report) {
		Monitor monitor = this.monitors.get(report.service());
		if (monitor != null) {
			monitor.driver.handle(new HealthInput.InFlightReport(sender,
					monitor.inFlight.update(this.control.clock().milliseconds(), sender, report.held())));
		}
	}

	void onAdvice(DaemonId owner, ServiceName service, List<DispatchMessage.AdvisedServer> servers) {
		this.states.setAdvice(owner, service, servers);
		this.listener.onStatesChanged(service);
	}

	void onLeavingStated(ServiceName service, BackendServerId server) {
		if (this.leaving.recordStatement(this.control.clock().milliseconds(), server)) {
			broadcast(new HealthMessage.LeavingNotice(service, server));
			updateLeaving();
		}
	}

	void onHostsRead(List<PlatformHost> hosts) {
		this.leaving.updateFromHostList(this.control.clock().milliseconds(), hosts);
		updateLeaving();
	}

	void onProbeEnded(BackendServerId server, boolean answered) {
		this.monitors.values()
			.forEach((monitor) -> monitor.driver.handle(new HealthInput.ProbeEnded(server, answered)));
	}

	List<ServerHealth> states(ServiceName service) {
		return this.states.statesOf(service);
	}

	@Nullable Explanation explain(ServiceName service, BackendServerId server) {
		Monitor monitor = this.monitors.get(service);
		return (monitor != null) ? monitor.component.explain(this.control.clock().milliseconds(), server) : null;
	}

	ActiveEjections view() {
		return this.view;
	}

	private void setMonitored(ServicePlan plan, boolean owned) {
		Monitor monitor = this.monitors.get(plan.service());
		if (owned && monitor == null) {
			Monitor added = new Monitor(plan);
			this.monitors.put(plan.service(), added);
			added.driver.start();
			this.unavailable.forEach(
					(server) -> added.driver.handle(new HealthInput.AvailabilityChanged(server, Availability.LEAVING)));
		}
		else if (!owned && monitor != null) {
			monitor.driver.stop();
			this.monitors.remove(plan.service());
		}
	}

	private void receive(DaemonId sender, HealthMessage message) {
		HealthInput input = new HealthInput.MessageReceived(sender, message);
		switch (message) {
			case HealthMessage.PromiseRequest _, HealthMessage.PromiseRelease _ -> this.promiseDriver.handle(input);
			case HealthMessage.PromiseReply _, HealthMessage.EjectionQuery _ -> sendToMonitor(message.service(), input);
			case HealthMessage.EjectionNotice _, HealthMessage.EjectionAdvice _ -> this.viewDriver.handle(input);
			case HealthMessage.LeavingNotice notice -> {
				if (this.leaving.recordStatement(this.control.clock().milliseconds(), notice.server())) {
					updateLeaving();
				}
			}
		}
	}

	private void applyEffect(HealthEffect effect) {
		switch (effect) {
			case HealthEffect.Send send -> this.endpoint.send(send.receiver(), send.message());
			case HealthEffect.Broadcast broadcast -> broadcast(broadcast.message());
			case HealthEffect.HealthChanged changed ->
				this.listener.onHealthChanged(changed.service(), changed.servers());
			case HealthEffect.RecordAudit entry -> record(entry);
			case HealthEffect.ActiveEjectionsChanged changed -> {
				this.states.setEjections(changed.service(), changed.ejections());
				this.listener.onStatesChanged(changed.service());
			}
			case HealthEffect.AvoidedServersChanged avoided -> {
				this.states.setAvoidedServers(avoided.servers());
				this.plans.keySet().forEach(this.listener::onStatesChanged);
			}
			case HealthEffect.Probe probe -> this.listener.probe(probe.server());
			case HealthEffect.PermitObtained _, HealthEffect.PermitDenied _, HealthEffect.PermitLost _ -> {
				// The monitor handles these itself.
			}
		}
	}

	private void record(HealthEffect.RecordAudit effect) {
		this.audit.accept(effect.entry());
		this.log.log(effect.event(), effect.entry().subject(), effect.entry().evidence());
	}

	private void broadcast(HealthMessage message) {
		this.members.forEach((member) -> this.endpoint.send(member.id(), message));
	}

	private void updateLeaving() {
		Set<BackendServerId> current = this.leaving.all();
		if (current.equals(this.unavailable)) {
			return;
		}
		Set<BackendServerId> changed = new HashSet<>(current);
		changed.addAll(this.unavailable);
		changed.removeIf((server) -> current.contains(server) && this.unavailable.contains(server));
		this.unavailable = current;
		this.states.setLeaving(current);
		for (BackendServerId server : changed) {
			Availability availability = current.contains(server) ? Availability.LEAVING : Availability.AVAILABLE;
			HealthInput input = new HealthInput.AvailabilityChanged(server, availability);
			this.viewDriver.handle(input);
			this.promiseDriver.handle(input);
			this.monitors.values().forEach((monitor) -> monitor.driver.handle(input));
		}
		this.plans.keySet().forEach(this.listener::onStatesChanged);
	}

	private void sendToMonitor(ServiceName service, HealthInput input) {
		Monitor monitor = this.monitors.get(service);
		if (monitor != null) {
			monitor.driver.handle(input);
		}
	}

	private void sendToAll(ServiceName service, HealthInput input) {
		this.viewDriver.handle(input);
		this.promiseDriver.handle(input);
		this.pathDriver.handle(input);
		sendToMonitor(service, input);
	}

	private final class Monitor {

		private final InFlightTimes inFlight = new InFlightTimes();

		private final HealthMonitor component;

		private final ComponentDriver<HealthInput, HealthEffect> driver;

		private Monitor(ServicePlan plan) {
			this.component = new HealthMonitor(HealthShell.this.self, HealthShell.this.domain.region(), plan);
			this.driver = new ComponentDriver<>(HealthShell.this.control, this.component,
					HealthShell.this::applyEffect);
		}

	}

}
