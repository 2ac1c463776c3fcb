package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.Step;
import org.wigeonmast.health.internal.Detector;
import org.wigeonmast.health.internal.Suspicion;

/**
 * Judges the backend servers of one service in one region; it runs at the daemon that
 * owns the service there.
 * <p>
 * Wiring: create one when the daemon becomes the owner and drop it when it no longer is.
 * Turn each {@code SlotRelease} and each line of an {@code OutcomeReport} into
 * {@link HealthInput.Observed}, and the requests in flight of each report that run longer
 * than 100 ms into {@link HealthInput.InFlight}; leave out work that came from another
 * region, because its durations contain the way between regions. Pass on the host list,
 * {@code Server-State: leaving} and {@link HealthMessage.LeavingNotice} as
 * {@link HealthInput.AvailabilityChanged}, manifests as {@link HealthInput.PlanChanged}
 * and membership as {@link HealthInput.VotersChanged}. Call {@link #tick(long)} when
 * {@link #nextTick()} is due. Hand {@link HealthEffect.Judged} to the slot allocator.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariant: a server is
 * {@link ServerHealth.State#EJECTED} or {@link ServerHealth.State#TRIAL} only while its
 * permit is held.
 */
public final class HealthMonitor implements Component<HealthInput, HealthEffect> {

	private static final long PERIOD = 100;

	/** Weight of a server that is only the last choice. */
	private static final double LAST_CHOICE = 0.05;

	/** Share of the threshold below which an avoided server is in service again. */
	private static final double CLEARED = 0.25;

	private final DaemonId self;

	private final Region region;

	private final Detector detector = new Detector();

	private final Map<BackendServerId, Judgement> judgements = new LinkedHashMap<>();

	private ServicePlan plan;

	private long nextTick = Long.MIN_VALUE;

	private List<ServerHealth> judged = List.of();

	/**
	 * Creates a monitor.
	 * @param self this daemon
	 * @param region the region whose backend servers are judged
	 * @param plan the service
	 */
	public HealthMonitor(DaemonId self, Region region, ServicePlan plan) {
		this.self = self;
		this.region = region;
		this.plan = plan;
		apply(plan);
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.Observed observed -> this.detector.observe(now - observed.age(), observed.observation());
			case HealthInput.InFlight report -> this.detector.inFlight(now, report);
			case HealthInput.AvailabilityChanged changed -> change(now, changed, effects);
			case HealthInput.EndpointRead read -> this.detector.endpoint(read.server(), read.healthy());
			case HealthInput.PlanChanged changed -> apply(changed.plan());
			case HealthInput.VotersChanged changed -> {
			}
			case HealthInput.Received received -> {
			}
		}
		return effects;
	}

	@Override
	public List<HealthEffect> tick(long now) {
		List<HealthEffect> effects = new ArrayList<>();
		if (now < this.nextTick) {
			return effects;
		}
		this.nextTick = now + PERIOD;
		this.detector.advance(now);
		this.judgements.forEach((server, judgement) -> judge(now, server, judgement, effects));
		List<ServerHealth> current = servers();
		if (!current.equals(this.judged)) {
			this.judged = current;
			effects.add(new HealthEffect.Judged(this.plan.service(), current));
		}
		return effects;
	}

	@Override
	public long nextTick() {
		return this.nextTick;
	}

	/**
	 * Returns the judgement about each backend server of the region.
	 * @return the judgements in the order of the manifest
	 */
	public List<ServerHealth> servers() {
		List<ServerHealth> servers = new ArrayList<>();
		this.judgements
			.forEach((server, judgement) -> servers.add(new ServerHealth(server, judgement.state, judgement.weight)));
		return servers;
	}

	private void apply(ServicePlan changed) {
		this.plan = changed;
		Map<BackendServerId, Integer> slots = new LinkedHashMap<>();
		for (ServicePlan.Server server : changed.servers()) {
			if (server.region().equals(this.region)) {
				slots.put(server.id(), server.slots());
			}
		}
		for (BackendServerId server : List.copyOf(this.judgements.keySet())) {
			if (!slots.containsKey(server)) {
				this.judgements.remove(server);
				this.detector.remove(server);
			}
		}
		slots.forEach((server, count) -> {
			this.judgements.computeIfAbsent(server, (added) -> new Judgement());
			this.detector.add(server, count);
		});
	}

	private void change(long now, HealthInput.AvailabilityChanged changed, List<HealthEffect> effects) {
		Judgement judgement = this.judgements.get(changed.server());
		if (judgement == null) {
			return;
		}
		switch (changed.availability()) {
			case LEAVING -> {
				if (judgement.state != ServerHealth.State.LEAVING) {
					effects.add(record(now, HealthEvent.SERVER_LEAVING, AuditKind.LEAVING, changed.server(),
							Map.of("state", judgement.state.toString())));
				}
				enter(judgement, ServerHealth.State.LEAVING, 0);
			}
			case DEAD -> enter(judgement, ServerHealth.State.DEAD, 0);
			case AVAILABLE, COLD -> enter(judgement, ServerHealth.State.SERVING, 1);
		}
		this.detector.use(changed.server(), judgement.state == ServerHealth.State.SERVING, true);
		this.nextTick = now;
	}

	private void judge(long now, BackendServerId server, Judgement judgement, List<HealthEffect> effects) {
		Suspicion suspicion = this.detector.suspicion(server);
		if (judgement.state == ServerHealth.State.SERVING && suspicion.strength() >= Detector.THRESHOLD) {
			enter(judgement, ServerHealth.State.AVOIDED, LAST_CHOICE);
			this.detector.use(server, false, true);
			effects
				.add(record(now, HealthEvent.SERVER_AVOIDED, AuditKind.EJECTION_DENIED, server, suspicion.evidence()));
		}
		else if (judgement.state == ServerHealth.State.AVOIDED && suspicion.strength() < CLEARED * Detector.THRESHOLD) {
			enter(judgement, ServerHealth.State.SERVING, 1);
			this.detector.use(server, true, true);
			effects.add(record(now, HealthEvent.SERVER_RETURNED, AuditKind.RETURNED, server, suspicion.evidence()));
		}
	}

	private static void enter(Judgement judgement, ServerHealth.State state, double weight) {
		judgement.state = state;
		judgement.weight = weight;
	}

	private HealthEffect record(long now, HealthEvent event, AuditKind kind, BackendServerId server,
			Map<String, String> evidence) {
		return new HealthEffect.Recorded(event,
				new AuditEntry(now, kind, server.value(), Step.HEALTH, this.self.toString(), evidence));
	}

	private static final class Judgement {

		private ServerHealth.State state = ServerHealth.State.SERVING;

		private double weight = 1;

	}

}
