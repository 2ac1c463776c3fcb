package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.health.ServerHealth.State;
import org.wigeonmast.health.internal.AuditEntries;
import org.wigeonmast.health.internal.OutlierDetector;
import org.wigeonmast.health.internal.ServerStateMachine;
import org.wigeonmast.health.internal.SuspicionEvidence;

/**
 * Monitor of the health of the backend servers of one service in one region; it runs at
 * the daemon that owns the service there.
 * <p>
 * Wiring: create a monitor when the daemon becomes the owner and drop it when the daemon
 * no longer is. Turn each {@code SlotRelease} and each line of an {@code OutcomeReport}
 * into {@link HealthInput.RequestObserved}, and the requests in flight of each report
 * that run longer than 100 ms into {@link HealthInput.InFlightReport}; leave out work
 * that came from another region, because its durations contain the network delay between
 * regions. Pass on the host list, {@code Server-State: leaving} and
 * {@link HealthMessage.LeavingNotice} as {@link HealthInput.AvailabilityChanged},
 * manifests as {@link HealthInput.PlanChanged} and membership as
 * {@link HealthInput.VotersChanged}. Call {@link #tick(long)} when {@link #nextTick()} is
 * due. Pass {@link HealthEffect.HealthChanged} to the slot allocator.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariant: a server is
 * {@link ServerHealth.State#EJECTED} or {@link ServerHealth.State#TRIAL} only while its
 * permit is held.
 */
public final class HealthMonitor implements Component<HealthInput, HealthEffect> {

	private static final long TICK_INTERVAL_MS = 100;

	/** Share of the threshold below which a server is no longer suspected. */
	private static final double CLEARED_SHARE = 0.25;

	/**
	 * Time in milliseconds without answered work after which a server on trial is probed.
	 */
	private static final long PROBE_INTERVAL_MS = 3_000;

	/**
	 * Minimum time in milliseconds between two reports of denied ejections of one server.
	 */
	private static final long DENIAL_REPORT_INTERVAL_MS = 10_000;

	private final DaemonId self;

	private final Region region;

	private final AuditEntries audit;

	private final OutlierDetector detector = new OutlierDetector();

	private final EjectionPermits permits;

	private final Map<BackendServerId, ServerStateMachine> stateMachines = new LinkedHashMap<>();

	private ServicePlan plan;

	private long nextTick = Long.MIN_VALUE;

	private List<ServerHealth> publishedHealth = List.of();

	/**
	 * Creates a monitor.
	 * @param self this daemon
	 * @param region the region whose backend servers are monitored
	 * @param plan the service as the manifest describes it
	 */
	public HealthMonitor(DaemonId self, Region region, ServicePlan plan) {
		this.self = self;
		this.region = region;
		this.audit = new AuditEntries(self);
		this.permits = new EjectionPermits(self, region, plan);
		this.plan = plan;
		regionalServers(plan).forEach((server, slots) -> {
			this.stateMachines.put(server, new ServerStateMachine(server));
			this.detector.addServer(server, slots);
		});
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.RequestObserved(Observation observation, long age) ->
				recordObservation(now, observation, age);
			case HealthInput.InFlightReport report -> this.detector.replaceInFlight(now, report);
			case HealthInput.EndpointPolled(BackendServerId server, boolean healthy) ->
				this.detector.recordEndpointHealth(server, healthy);
			case HealthInput.ProbeEnded(BackendServerId server, boolean answered) ->
				onProbeEnded(now, server, answered, effects);
			case HealthInput.AvailabilityChanged change -> {
				onAvailabilityChanged(now, change, effects);
				forwardToPermits(now, change, effects);
			}
			case HealthInput.PlanChanged change -> {
				applyPlan(now, change.plan(), effects);
				forwardToPermits(now, change, effects);
			}
			case HealthInput.VotersChanged change -> forwardToPermits(now, change, effects);
			case HealthInput.MessageReceived message -> forwardToPermits(now, message, effects);
			case HealthInput.ServiceRemoved _, HealthInput.EjectionRequested _, HealthInput.EjectionWithdrawn _ -> {
				// The monitor is dropped together with its service, and it decides about
				// ejections itself.
			}
		}
		return effects;
	}

	@Override
	public List<HealthEffect> tick(long now) {
		List<HealthEffect> effects = new ArrayList<>();
		applyPermitEffects(now, this.permits.tick(now), effects);
		if (now < this.nextTick) {
			return effects;
		}
		this.nextTick = now + TICK_INTERVAL_MS;
		this.detector.advance(now);
		for (ServerStateMachine stateMachine : this.stateMachines.values()) {
			evaluate(now, stateMachine, effects);
		}
		publish(now, effects);
		return effects;
	}

	@Override
	public long nextTick() {
		return Math.min(this.nextTick, this.permits.nextTick());
	}

	/**
	 * Returns the health of each backend server of the region.
	 * @param now the current monotonic time in milliseconds
	 * @return the health of the servers, in the order of the manifest
	 */
	public List<ServerHealth> servers(long now) {
		List<ServerHealth> servers = new ArrayList<>();
		this.stateMachines.values().forEach((stateMachine) -> servers.add(stateMachine.health(now)));
		return servers;
	}

	/**
	 * Explains the state of a backend server.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 * @return the explanation, or {@code null} if the region has no such server
	 */
	public @Nullable Explanation explain(long now, BackendServerId server) {
		ServerStateMachine stateMachine = this.stateMachines.get(server);
		if (stateMachine == null) {
			return null;
		}
		Map<String, String> facts = stateMachine.facts(now);
		facts.put("evidence now", this.detector.strongestEvidence(server).summary());
		return new Explanation(server, this.self, facts, stateMachine.history());
	}

	private void recordObservation(long now, Observation observation, long age) {
		ServerStateMachine stateMachine = this.stateMachines.get(observation.server());
		if (stateMachine == null || stateMachine.state() == State.LEAVING || stateMachine.state() == State.DEAD) {
			return;
		}
		if (stateMachine.state() == State.TRIAL && observation.result() != Observation.Result.SHED) {
			stateMachine.recordTrialAnswer(now);
			stateMachine.delayProbe(now + PROBE_INTERVAL_MS);
		}
		this.detector.recordResult(now - age, observation);
	}

	private void evaluate(long now, ServerStateMachine stateMachine, List<HealthEffect> effects) {
		BackendServerId server = stateMachine.server();
		switch (stateMachine.state()) {
			case SERVING, RAMPING -> {
				SuspicionEvidence suspicion = this.detector.strongestEvidence(server);
				if (suspicion.strength() >= OutlierDetector.THRESHOLD) {
					suspect(now, stateMachine, suspicion, effects);
				}
				else if (stateMachine.state() == State.RAMPING && stateMachine.hasElapsed(now)) {
					stateMachine.enterState(now, State.SERVING);
					this.detector.setEvidenceUse(server, true, true);
				}
			}
			case AVOIDED -> {
				if (this.detector.strongestEvidence(server).strength() < CLEARED_SHARE * OutlierDetector.THRESHOLD
						|| stateMachine.hasElapsed(now)) {
					returnToService(now, stateMachine, effects);
				}
			}
			case EJECTED -> {
				if (stateMachine.hasElapsed(now)) {
					startTrial(now, stateMachine, effects);
				}
			}
			case TRIAL -> evaluateTrial(now, stateMachine, effects);
			case LEAVING, DEAD -> {
			}
		}
	}

	private void suspect(long now, ServerStateMachine stateMachine, SuspicionEvidence suspicion,
			List<HealthEffect> effects) {
		stateMachine.startAvoidance(now, suspicion);
		this.detector.setEvidenceUse(stateMachine.server(), false, true);
		forwardToPermits(now, new HealthInput.EjectionRequested(stateMachine.server(), suspicion.strength(), false,
				suspicion.summary()), effects);
	}

	private void startTrial(long now, ServerStateMachine stateMachine, List<HealthEffect> effects) {
		stateMachine.startTrial(now, PROBE_INTERVAL_MS);
		this.detector.clearEvidence(stateMachine.server());
		SuspicionEvidence suspicion = stateMachine.latestEvidence();
		forwardToPermits(now, new HealthInput.EjectionRequested(stateMachine.server(), suspicion.strength(), true,
				suspicion.summary()), effects);
		recordAudit(now, HealthEvent.SERVER_ON_TRIAL, AuditKind.RETURNED, stateMachine,
				AuditEntries.values("state", State.TRIAL, "ejections in a row", stateMachine.consecutiveEjections()),
				effects);
	}

	private void evaluateTrial(long now, ServerStateMachine stateMachine, List<HealthEffect> effects) {
		SuspicionEvidence suspicion = this.detector.strongestEvidence(stateMachine.server());
		if (suspicion.strength() >= CLEARED_SHARE * OutlierDetector.THRESHOLD) {
			suspect(now, stateMachine, suspicion, effects);
			stateMachine.enterState(now, State.EJECTED);
			recordAudit(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, stateMachine,
					ejectionEvidence(stateMachine), effects);
		}
		else if (stateMachine.isTrialPassed(now)) {
			returnToService(now, stateMachine, effects);
		}
		else if (stateMachine.pollProbe(now, PROBE_INTERVAL_MS)) {
			effects.add(new HealthEffect.Probe(stateMachine.server()));
		}
	}

	private void onProbeEnded(long now, BackendServerId server, boolean answered, List<HealthEffect> effects) {
		ServerStateMachine stateMachine = this.stateMachines.get(server);
		if (stateMachine == null || stateMachine.state() != State.TRIAL) {
			return;
		}
		if (answered) {
			stateMachine.recordTrialAnswer(now);
		}
		else {
			stateMachine.startAvoidance(now, stateMachine.latestEvidence());
			stateMachine.enterState(now, State.EJECTED);
			recordAudit(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, stateMachine, AuditEntries.values("kind",
					"failed probe", "ejections in a row", stateMachine.consecutiveEjections()), effects);
		}
	}

	private void returnToService(long now, ServerStateMachine stateMachine, List<HealthEffect> effects) {
		recordAudit(now, HealthEvent.SERVER_RETURNED, AuditKind.RETURNED, stateMachine, AuditEntries.values("from",
				stateMachine.state(), "ejections in a row", stateMachine.consecutiveEjections()), effects);
		stateMachine.startRamp(now, false);
		stateMachine.setPermit(null);
		this.detector.clearEvidence(stateMachine.server());
		this.detector.setEvidenceUse(stateMachine.server(), false, true);
		forwardToPermits(now, new HealthInput.EjectionWithdrawn(stateMachine.server()), effects);
	}

	private void forwardToPermits(long now, HealthInput input, List<HealthEffect> effects) {
		applyPermitEffects(now, this.permits.handle(now, input), effects);
	}

	private void applyPermitEffects(long now, List<HealthEffect> permitEffects, List<HealthEffect> effects) {
		for (HealthEffect effect : permitEffects) {
			switch (effect) {
				case HealthEffect.PermitObtained(BackendServerId server, int permit) ->
					onPermitObtained(now, this.stateMachines.get(server), permit, effects);
				case HealthEffect.PermitDenied(BackendServerId server, String reasons) ->
					onPermitDenied(now, this.stateMachines.get(server), reasons, effects);
				case HealthEffect.PermitLost(BackendServerId server, int permit) ->
					onPermitLost(now, this.stateMachines.get(server), permit, effects);
				default -> effects.add(effect);
			}
		}
	}

	private void onPermitObtained(long now, @Nullable ServerStateMachine stateMachine, int permit,
			List<HealthEffect> effects) {
		if (stateMachine != null && stateMachine.state() == State.AVOIDED) {
			stateMachine.setPermit(permit);
			stateMachine.enterState(now, State.EJECTED);
			recordAudit(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, stateMachine,
					ejectionEvidence(stateMachine), effects);
			publish(now, effects);
		}
	}

	private void onPermitDenied(long now, @Nullable ServerStateMachine stateMachine, String reasons,
			List<HealthEffect> effects) {
		if (stateMachine != null && stateMachine.shouldReportDenial(now, DENIAL_REPORT_INTERVAL_MS)) {
			Map<String, String> evidence = stateMachine.latestEvidence().toValues();
			evidence.put("reasons", reasons);
			recordAudit(now, HealthEvent.EJECTION_DENIED, AuditKind.EJECTION_DENIED, stateMachine, evidence, effects);
		}
	}

	private void onPermitLost(long now, @Nullable ServerStateMachine stateMachine, int permit,
			List<HealthEffect> effects) {
		if (stateMachine != null && (stateMachine.state() == State.EJECTED || stateMachine.state() == State.TRIAL)) {
			stateMachine.setPermit(null);
			stateMachine.enterState(now, State.AVOIDED);
			recordAudit(now, HealthEvent.PERMIT_LOST, AuditKind.EJECTION_DENIED, stateMachine,
					AuditEntries.values("permit", permit, "reason", "too few promises were renewed"), effects);
			publish(now, effects);
		}
	}

	private Map<String, String> ejectionEvidence(ServerStateMachine stateMachine) {
		Map<String, String> evidence = stateMachine.latestEvidence().toValues();
		evidence.put("service", this.plan.service().value());
		evidence.put("ejections in a row", Integer.toString(stateMachine.consecutiveEjections()));
		return evidence;
	}

	private void applyPlan(long now, ServicePlan newPlan, List<HealthEffect> effects) {
		this.plan = newPlan;
		Map<BackendServerId, Integer> slots = regionalServers(newPlan);
		for (BackendServerId server : List.copyOf(this.stateMachines.keySet())) {
			if (!slots.containsKey(server)) {
				this.stateMachines.remove(server);
				this.detector.removeServer(server);
				forwardToPermits(now, new HealthInput.EjectionWithdrawn(server), effects);
			}
		}
		slots.forEach((server, count) -> {
			this.detector.addServer(server, count);
			this.stateMachines.computeIfAbsent(server, (added) -> {
				ServerStateMachine stateMachine = new ServerStateMachine(server);
				startColdRamp(now, stateMachine);
				return stateMachine;
			});
		});
	}

	private Map<BackendServerId, Integer> regionalServers(ServicePlan servicePlan) {
		Map<BackendServerId, Integer> slots = new LinkedHashMap<>();
		for (ServicePlan.Server server : servicePlan.servers()) {
			if (server.region().equals(this.region)) {
				slots.put(server.id(), server.slots());
			}
		}
		return slots;
	}

	private void onAvailabilityChanged(long now, HealthInput.AvailabilityChanged change, List<HealthEffect> effects) {
		ServerStateMachine stateMachine = this.stateMachines.get(change.server());
		if (stateMachine == null) {
			return;
		}
		State state = stateMachine.state();
		boolean outOfService = state == State.LEAVING || state == State.DEAD;
		switch (change.availability()) {
			case LEAVING -> {
				if (state != State.LEAVING) {
					recordAudit(now, HealthEvent.SERVER_LEAVING, AuditKind.LEAVING, stateMachine,
							AuditEntries.values("earlier state", state), effects);
					takeOutOfService(now, stateMachine, State.LEAVING, effects);
				}
			}
			case DEAD -> takeOutOfService(now, stateMachine, State.DEAD, effects);
			case COLD -> {
				forwardToPermits(now, new HealthInput.EjectionWithdrawn(change.server()), effects);
				startColdRamp(now, stateMachine);
			}
			case AVAILABLE -> {
				if (outOfService) {
					startColdRamp(now, stateMachine);
				}
			}
		}
		publish(now, effects);
	}

	private void takeOutOfService(long now, ServerStateMachine stateMachine, State state, List<HealthEffect> effects) {
		stateMachine.enterState(now, state);
		stateMachine.setPermit(null);
		this.detector.clearEvidence(stateMachine.server());
		this.detector.setEvidenceUse(stateMachine.server(), false, false);
		forwardToPermits(now, new HealthInput.EjectionWithdrawn(stateMachine.server()), effects);
	}

	private void startColdRamp(long now, ServerStateMachine stateMachine) {
		// A server that has just started is expected to be slow.
		stateMachine.startRamp(now, true);
		this.detector.clearEvidence(stateMachine.server());
		this.detector.setEvidenceUse(stateMachine.server(), false, false);
	}

	private void publish(long now, List<HealthEffect> effects) {
		List<ServerHealth> current = servers(now);
		if (!current.equals(this.publishedHealth)) {
			this.publishedHealth = current;
			effects.add(new HealthEffect.HealthChanged(this.plan.service(), current));
		}
	}

	private void recordAudit(long now, HealthEvent event, AuditKind kind, ServerStateMachine stateMachine,
			Map<String, String> evidence, List<HealthEffect> effects) {
		HealthEffect.RecordAudit effect = this.audit.entry(now, event, kind, stateMachine.server(), evidence);
		stateMachine.addToHistory(effect.entry());
		effects.add(effect);
	}

}
