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
	private static final int FAILURES = 2;

	/** Duration of the first avoidance in milliseconds; each further one doubles. */
	private static final long FIRST_AVOIDANCE = 5_000;

	/** Maximum duration of an avoidance in milliseconds. */
	private static final long LONGEST_AVOIDANCE = 60_000;

	private final AuditEntries audit;

	private final Map<BackendServerId, Path> paths = new HashMap<>();

	private final Map<ServiceName, Integer> sizes = new HashMap<>();

	private Set<BackendServerId> avoided = Set.of();

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
			case HealthInput.RequestObserved(Observation observation, long age) -> observe(now, observation);
			case HealthInput.PlanChanged(ServicePlan plan) -> {
				this.sizes.put(plan.service(), plan.servers().size());
				yield List.of();
			}
			case HealthInput.ServiceRemoved(ServiceName service) -> {
				this.sizes.remove(service);
				this.paths.values().removeIf((path) -> path.service.equals(service));
				yield refresh(now);
			}
			default -> List.of();
		};
	}

	@Override
	public List<HealthEffect> tick(long now) {
		return refresh(now);
	}

	@Override
	public long nextTick() {
		return this.paths.values()
			.stream()
			.filter((path) -> this.avoided.contains(path.server))
			.mapToLong((path) -> path.until)
			.min()
			.orElse(NO_TIMER);
	}

	/**
	 * Returns the servers that this daemon avoids.
	 * @return an immutable set
	 */
	public Set<BackendServerId> avoided() {
		return this.avoided;
	}

	private List<HealthEffect> observe(long now, Observation observation) {
		BackendServerId server = observation.server();
		if (observation.result() != Result.TIMED_OUT && observation.result() != Result.CONNECTION_FAILED) {
			return (this.paths.remove(server) != null) ? refresh(now) : List.of();
		}
		Path path = this.paths.computeIfAbsent(server, (added) -> new Path(server, observation.service()));
		path.failures++;
		if (path.failures >= FAILURES && now >= path.until) {
			int doublings = Math.min(path.avoidances, 4);
			path.until = now + Math.min(LONGEST_AVOIDANCE, FIRST_AVOIDANCE << doublings);
			path.avoidances++;
		}
		return refresh(now);
	}

	private List<HealthEffect> refresh(long now) {
		Map<ServiceName, Integer> counts = new HashMap<>();
		for (Path path : this.paths.values()) {
			if (now < path.until) {
				counts.merge(path.service, 1, Integer::sum);
			}
		}
		Set<BackendServerId> current = new LinkedHashSet<>();
		for (Path path : this.paths.values()) {
			if (now < path.until && counts.get(path.service) < this.sizes.getOrDefault(path.service, 0)) {
				current.add(path.server);
			}
		}
		if (current.equals(this.avoided)) {
			return List.of();
		}
		List<HealthEffect> effects = new ArrayList<>();
		for (BackendServerId server : current) {
			if (!this.avoided.contains(server)) {
				Path path = this.paths.get(server);
				effects.add(this.audit.entry(now, HealthEvent.PATH_AVOIDED, AuditKind.PATH_AVOIDED, server, AuditEntries
					.values("requests without answer", path.failures, "for", (path.until - now) + " ms")));
			}
		}
		this.avoided = Set.copyOf(current);
		effects.add(new HealthEffect.AvoidedServersChanged(this.avoided));
		return effects;
	}

	private static final class Path {

		private final BackendServerId server;

		private final ServiceName service;

		private int failures;

		private int avoidances;

		private long until = Long.MIN_VALUE;

		private Path(BackendServerId server, ServiceName service) {
			this.server = server;
			this.service = service;
		}

	}

}
