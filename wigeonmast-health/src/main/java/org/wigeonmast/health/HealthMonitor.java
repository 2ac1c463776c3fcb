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
import org.wigeonmast.health.internal.Detector;
import org.wigeonmast.health.internal.ServerJudgement;
import org.wigeonmast.health.internal.Suspicion;

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

	private static final long PERIOD = 100;

	/** Share of the threshold below which a server is no longer suspected. */
	private static final double CLEARED = 0.25;

	/**
	 * Time in milliseconds without answered work after which a server on trial is probed.
	 */
	private static final long PROBE = 3_000;

	/**
	 * Minimum time in milliseconds between two reports of denied ejections of one server.
	 */
	private static final long DENIAL_REPORT = 10_000;

	private final DaemonId self;

	private final Region region;

	private final AuditEntries audit;

	private final Detector detector = new Detector();

	private final EjectionPermits permits;

	private final Map<BackendServerId, ServerJudgement> judgements = new LinkedHashMap<>();

	private ServicePlan plan;

	private long nextTick = Long.MIN_VALUE;

	private List<ServerHealth> judged = List.of();

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
			this.judgements.put(server, new ServerJudgement(server));
			this.detector.add(server, slots);
		});
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.RequestObserved(Observation observation, long age) -> observe(now, observation, age);
			case HealthInput.InFlightReport report -> this.detector.inFlight(now, report);
			case HealthInput.EndpointPolled(BackendServerId server, boolean healthy) ->
				this.detector.endpoint(server, healthy);
			case HealthInput.ProbeEnded(BackendServerId server, boolean answered) ->
				probed(now, server, answered, effects);
			case HealthInput.AvailabilityChanged changed -> {
				change(now, changed, effects);
				permit(now, changed, effects);
			}
			case HealthInput.PlanChanged changed -> {
				apply(now, changed.plan(), effects);
				permit(now, changed, effects);
			}
			case HealthInput.VotersChanged changed -> permit(now, changed, effects);
			case HealthInput.MessageReceived received -> permit(now, received, effects);
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
		follow(now, this.permits.tick(now), effects);
		if (now < this.nextTick) {
			return effects;
		}
		this.nextTick = now + PERIOD;
		this.detector.advance(now);
		for (ServerJudgement judgement : this.judgements.values()) {
			judge(now, judgement, effects);
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
		this.judgements.values().forEach((judgement) -> servers.add(judgement.health(now)));
		return servers;
	}

	/**
	 * Explains the state of a backend server.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 * @return the explanation, or {@code null} if the region has no such server
	 */
	public @Nullable Explanation explain(long now, BackendServerId server) {
		ServerJudgement judgement = this.judgements.get(server);
		if (judgement == null) {
			return null;
		}
		Map<String, String> facts = judgement.facts(now);
		facts.put("evidence now", this.detector.suspicion(server).summary());
		return new Explanation(server, this.self, facts, judgement.history());
	}

	private void observe(long now, Observation observation, long age) {
		ServerJudgement judgement = this.judgements.get(observation.server());
		if (judgement == null || judgement.state() == State.LEAVING || judgement.state() == State.DEAD) {
			return;
		}
		if (judgement.state() == State.TRIAL && observation.result() != Observation.Result.SHED) {
			judgement.trialAnswered(now);
			judgement.delayProbe(now + PROBE);
		}
		this.detector.observe(now - age, observation);
	}

	private void judge(long now, ServerJudgement judgement, List<HealthEffect> effects) {
		BackendServerId server = judgement.server();
		switch (judgement.state()) {
			case SERVING, RAMPING -> {
				Suspicion suspicion = this.detector.suspicion(server);
				if (suspicion.strength() >= Detector.THRESHOLD) {
					suspect(now, judgement, suspicion, effects);
				}
				else if (judgement.state() == State.RAMPING && judgement.over(now)) {
					judgement.enter(now, State.SERVING);
					this.detector.use(server, true, true);
				}
			}
			case AVOIDED -> {
				if (this.detector.suspicion(server).strength() < CLEARED * Detector.THRESHOLD || judgement.over(now)) {
					giveBack(now, judgement, effects);
				}
			}
			case EJECTED -> {
				if (judgement.over(now)) {
					tryAgain(now, judgement, effects);
				}
			}
			case TRIAL -> judgeTrial(now, judgement, effects);
			case LEAVING, DEAD -> {
			}
		}
	}

	private void suspect(long now, ServerJudgement judgement, Suspicion suspicion, List<HealthEffect> effects) {
		judgement.suspect(now, suspicion);
		this.detector.use(judgement.server(), false, true);
		permit(now,
				new HealthInput.EjectionRequested(judgement.server(), suspicion.strength(), false, suspicion.summary()),
				effects);
	}

	private void tryAgain(long now, ServerJudgement judgement, List<HealthEffect> effects) {
		judgement.tryAgain(now, PROBE);
		this.detector.clear(judgement.server());
		Suspicion suspicion = judgement.suspicion();
		permit(now,
				new HealthInput.EjectionRequested(judgement.server(), suspicion.strength(), true, suspicion.summary()),
				effects);
		record(now, HealthEvent.SERVER_ON_TRIAL, AuditKind.RETURNED, judgement,
				AuditEntries.values("state", State.TRIAL, "ejections in a row", judgement.ejections()), effects);
	}

	private void judgeTrial(long now, ServerJudgement judgement, List<HealthEffect> effects) {
		Suspicion suspicion = this.detector.suspicion(judgement.server());
		if (suspicion.strength() >= CLEARED * Detector.THRESHOLD) {
			suspect(now, judgement, suspicion, effects);
			judgement.enter(now, State.EJECTED);
			record(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, judgement, ejectionEvidence(judgement), effects);
		}
		else if (judgement.trialPassed(now)) {
			giveBack(now, judgement, effects);
		}
		else if (judgement.probeDue(now, PROBE)) {
			effects.add(new HealthEffect.Probe(judgement.server()));
		}
	}

	private void probed(long now, BackendServerId server, boolean answered, List<HealthEffect> effects) {
		ServerJudgement judgement = this.judgements.get(server);
		if (judgement == null || judgement.state() != State.TRIAL) {
			return;
		}
		if (answered) {
			judgement.trialAnswered(now);
		}
		else {
			judgement.suspect(now, judgement.suspicion());
			judgement.enter(now, State.EJECTED);
			record(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, judgement,
					AuditEntries.values("kind", "failed probe", "ejections in a row", judgement.ejections()), effects);
		}
	}

	private void giveBack(long now, ServerJudgement judgement, List<HealthEffect> effects) {
		record(now, HealthEvent.SERVER_RETURNED, AuditKind.RETURNED, judgement,
				AuditEntries.values("from", judgement.state(), "ejections in a row", judgement.ejections()), effects);
		judgement.ramp(now, false);
		judgement.setPermit(null);
		this.detector.clear(judgement.server());
		this.detector.use(judgement.server(), false, true);
		permit(now, new HealthInput.EjectionWithdrawn(judgement.server()), effects);
	}

	private void permit(long now, HealthInput input, List<HealthEffect> effects) {
		follow(now, this.permits.handle(now, input), effects);
	}

	private void follow(long now, List<HealthEffect> decided, List<HealthEffect> effects) {
		for (HealthEffect effect : decided) {
			switch (effect) {
				case HealthEffect.PermitObtained(BackendServerId server, int permit) ->
					obtained(now, this.judgements.get(server), permit, effects);
				case HealthEffect.PermitDenied(BackendServerId server, String reasons) ->
					denied(now, this.judgements.get(server), reasons, effects);
				case HealthEffect.PermitLost(BackendServerId server, int permit) ->
					lost(now, this.judgements.get(server), permit, effects);
				default -> effects.add(effect);
			}
		}
	}

	private void obtained(long now, @Nullable ServerJudgement judgement, int permit, List<HealthEffect> effects) {
		if (judgement != null && judgement.state() == State.AVOIDED) {
			judgement.setPermit(permit);
			judgement.enter(now, State.EJECTED);
			record(now, HealthEvent.SERVER_EJECTED, AuditKind.EJECTED, judgement, ejectionEvidence(judgement), effects);
			publish(now, effects);
		}
	}

	private void denied(long now, @Nullable ServerJudgement judgement, String reasons, List<HealthEffect> effects) {
		if (judgement != null && judgement.denied(now, DENIAL_REPORT)) {
			Map<String, String> evidence = judgement.suspicion().evidence();
			evidence.put("reasons", reasons);
			record(now, HealthEvent.EJECTION_DENIED, AuditKind.EJECTION_DENIED, judgement, evidence, effects);
		}
	}

	private void lost(long now, @Nullable ServerJudgement judgement, int permit, List<HealthEffect> effects) {
		if (judgement != null && (judgement.state() == State.EJECTED || judgement.state() == State.TRIAL)) {
			judgement.setPermit(null);
			judgement.enter(now, State.AVOIDED);
			record(now, HealthEvent.PERMIT_LOST, AuditKind.EJECTION_DENIED, judgement,
					AuditEntries.values("permit", permit, "reason", "too few promises were renewed"), effects);
			publish(now, effects);
		}
	}

	private Map<String, String> ejectionEvidence(ServerJudgement judgement) {
		Map<String, String> evidence = judgement.suspicion().evidence();
		evidence.put("service", this.plan.service().value());
		evidence.put("ejections in a row", Integer.toString(judgement.ejections()));
		return evidence;
	}

	private void apply(long now, ServicePlan changed, List<HealthEffect> effects) {
		this.plan = changed;
		Map<BackendServerId, Integer> slots = regionalServers(changed);
		for (BackendServerId server : List.copyOf(this.judgements.keySet())) {
			if (!slots.containsKey(server)) {
				this.judgements.remove(server);
				this.detector.remove(server);
				permit(now, new HealthInput.EjectionWithdrawn(server), effects);
			}
		}
		slots.forEach((server, count) -> {
			this.detector.add(server, count);
			this.judgements.computeIfAbsent(server, (added) -> {
				ServerJudgement judgement = new ServerJudgement(server);
				start(now, judgement);
				return judgement;
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

	private void change(long now, HealthInput.AvailabilityChanged changed, List<HealthEffect> effects) {
		ServerJudgement judgement = this.judgements.get(changed.server());
		if (judgement == null) {
			return;
		}
		State state = judgement.state();
		boolean out = state == State.LEAVING || state == State.DEAD;
		switch (changed.availability()) {
			case LEAVING -> {
				if (state != State.LEAVING) {
					record(now, HealthEvent.SERVER_LEAVING, AuditKind.LEAVING, judgement,
							AuditEntries.values("earlier state", state), effects);
					leave(now, judgement, State.LEAVING, effects);
				}
			}
			case DEAD -> leave(now, judgement, State.DEAD, effects);
			case COLD -> {
				permit(now, new HealthInput.EjectionWithdrawn(changed.server()), effects);
				start(now, judgement);
			}
			case AVAILABLE -> {
				if (out) {
					start(now, judgement);
				}
			}
		}
		publish(now, effects);
	}

	private void leave(long now, ServerJudgement judgement, State state, List<HealthEffect> effects) {
		judgement.enter(now, state);
		judgement.setPermit(null);
		this.detector.clear(judgement.server());
		this.detector.use(judgement.server(), false, false);
		permit(now, new HealthInput.EjectionWithdrawn(judgement.server()), effects);
	}

	private void start(long now, ServerJudgement judgement) {
		// A server that has just started is expected to be slow.
		judgement.ramp(now, true);
		this.detector.clear(judgement.server());
		this.detector.use(judgement.server(), false, false);
	}

	private void publish(long now, List<HealthEffect> effects) {
		List<ServerHealth> current = servers(now);
		if (!current.equals(this.judged)) {
			this.judged = current;
			effects.add(new HealthEffect.HealthChanged(this.plan.service(), current));
		}
	}

	private void record(long now, HealthEvent event, AuditKind kind, ServerJudgement judgement,
			Map<String, String> evidence, List<HealthEffect> effects) {
		HealthEffect.RecordAudit recorded = this.audit.entry(now, event, kind, judgement.server(), evidence);
		judgement.remember(recorded.entry());
		effects.add(recorded);
	}

}
