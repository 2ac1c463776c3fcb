package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.Observation.Result;
import org.wigeonmast.health.internal.AuditEntries;

/**
 * Monitor of the paths to the backend servers, which finds those that this daemon alone
 * cannot reach.
 * <p>
 * Wiring: each daemon runs one instance for all services. It accepts
 * {@link HealthInput.RequestObserved} of this daemon's own requests and
 * {@link HealthInput.PlanChanged}. Pass {@link HealthEffect.AvoidedServersChanged} to the
 * selection of backend servers; avoided servers are used only if no other is available.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: memory is used only for
 * servers that did not answer the latest request; if all servers of a service would be
 * avoided, none is, because then the fault is not on the path to a single server.
 */
public final class PathMonitor implements Component<HealthInput, HealthEffect> {

	/** Number of consecutive requests without answer after which a server is avoided. */
	private static final int FAILURES_TO_AVOID = 2;

	/** Duration of the first avoidance in milliseconds; each further one doubles. */
	private static final long FIRST_AVOIDANCE_MS = 5_000;

	/** Maximum duration of an avoidance in milliseconds. */
	private static final long MAX_AVOIDANCE_MS = 60_000;

	private final AuditEntries audit;

	private final Map<BackendServerId, PathState> paths = new HashMap<>();

	private final Map<ServiceName, Integer> serverCounts = new HashMap<>();

	private Set<BackendServerId> avoidedServers = Set.of();

	/**
	 * Creates a monitor without avoided servers.
	 * @param self this daemon
	 */
	public PathMonitor(DaemonId self) {
		this.audit = new AuditEntries(self);
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		return switch (input) {
			case HealthInput.RequestObserved(Observation observation, long age) -> recordObservation(now, observation);
			case HealthInput.PlanChanged(ServicePlan plan) -> {
				this.serverCounts.put(plan.service(), plan.servers().size());
				yield List.of();
			}
			case HealthInput.ServiceRemoved(ServiceName service) -> {
				this.serverCounts.remove(service);
				this.paths.values().removeIf((path) -> path.service.equals(service));
				yield updateAvoided(now);
			}
			default -> List.of();
		};
	}

	@Override
	public List<HealthEffect> tick(long now) {
		return updateAvoided(now);
	}

	@Override
	public long nextTick() {
		return this.paths.values()
			.stream()
			.filter((path) -> this.avoidedServers.contains(path.server))
			.mapToLong((path) -> path.avoidedUntil)
			.min()
			.orElse(NO_TIMER);
	}

	/**
	 * Returns the servers that this daemon avoids.
	 * @return an immutable set
	 */
	public Set<BackendServerId> avoidedServers() {
		return this.avoidedServers;
	}

	private List<HealthEffect> recordObservation(long now, Observation observation) {
		BackendServerId server = observation.server();
		if (observation.result() != Result.TIMED_OUT && observation.result() != Result.CONNECTION_FAILED) {
			return (this.paths.remove(server) != null) ? updateAvoided(now) : List.of();
		}
		PathState path = this.paths.computeIfAbsent(server, (added) -> new PathState(server, observation.service()));
		path.consecutiveFailures++;
		if (path.consecutiveFailures >= FAILURES_TO_AVOID && now >= path.avoidedUntil) {
			int doublings = Math.min(path.avoidances, 4);
			path.avoidedUntil = now + Math.min(MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << doublings);
			path.avoidances++;
		}
		return updateAvoided(now);
	}

	private List<HealthEffect> updateAvoided(long now) {
		Map<ServiceName, Integer> avoidedCounts = new HashMap<>();
		for (PathState path : this.paths.values()) {
			if (now < path.avoidedUntil) {
				avoidedCounts.merge(path.service, 1, Integer::sum);
			}
		}
		Set<BackendServerId> current = new LinkedHashSet<>();
		for (PathState path : this.paths.values()) {
			if (now < path.avoidedUntil
					&& avoidedCounts.get(path.service) < this.serverCounts.getOrDefault(path.service, 0)) {
				current.add(path.server);
			}
		}
		if (current.equals(this.avoidedServers)) {
			return List.of();
		}
		List<HealthEffect> effects = new ArrayList<>();
		for (BackendServerId server : current) {
			if (!this.avoidedServers.contains(server)) {
				PathState path = this.paths.get(server);
				effects.add(this.audit.entry(now, HealthEvent.PATH_AVOIDED, AuditKind.PATH_AVOIDED, server,
						AuditEntries.values("requests without answer", path.consecutiveFailures, "for",
								(path.avoidedUntil - now) + " ms")));
			}
		}
		this.avoidedServers = Set.copyOf(current);
		effects.add(new HealthEffect.AvoidedServersChanged(this.avoidedServers));
		return effects;
	}

	private static final class PathState {

		private final BackendServerId server;

		private final ServiceName service;

		private int consecutiveFailures;

		private int avoidances;

		private long avoidedUntil = Long.MIN_VALUE;

		private PathState(BackendServerId server, ServiceName service) {
			this.server = server;
			this.service = service;
		}

	}

}
