package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.internal.AuditEntries;
import org.wigeonmast.health.internal.ServiceDirectory;

/**
 * The ejections that one entry daemon applies, each for the remaining time of its lease.
 * <p>
 * Wiring: each daemon runs one instance for all services. It accepts
 * {@link HealthInput.MessageReceived} with notices and advice,
 * {@link HealthInput.PlanChanged} and {@link HealthInput.AvailabilityChanged}. Pass
 * {@link HealthEffect.ActiveEjectionsChanged} to the request path, which compares
 * {@link ActiveEjection#expiresAt()} with the clock at each use.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: a lease is counted from
 * the time of the query, so it expires before that of the owner; by this daemon's own
 * view, the ejections that it applies leave the floor in service.
 */
public final class ActiveEjections implements Component<HealthInput, HealthEffect> {

	private final AuditEntries audit;

	private final ServiceDirectory services = new ServiceDirectory();

	private final FloorGuard floorGuard = new FloorGuard(this.services);

	private final Map<AdviceSource, AdviceState> sources = new HashMap<>();

	private final Map<ServiceName, List<ActiveEjection>> activeEjections = new HashMap<>();

	private final Map<ServiceName, List<ActiveEjection>> ignoredEjections = new HashMap<>();

	private long sequence;

	/**
	 * Creates an instance without ejections.
	 * @param self this daemon
	 */
	public ActiveEjections(DaemonId self) {
		this.audit = new AuditEntries(self);
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.MessageReceived(DaemonId owner, HealthMessage.EjectionNotice notice) -> {
				AdviceSource source = new AdviceSource(notice.service(), owner);
				AdviceState advice = this.sources.computeIfAbsent(source, (added) -> new AdviceState());
				advice.retainUntil = now + LeaseTiming.LEASE_MS;
				sendQuery(now, source, advice, effects);
			}
			case HealthInput.MessageReceived(DaemonId owner, HealthMessage.EjectionAdvice advice) -> {
				applyAdvice(owner, advice);
				refresh(now, advice.service(), effects);
			}
			case HealthInput.PlanChanged(ServicePlan plan) -> {
				this.services.handle(input);
				refresh(now, plan.service(), effects);
			}
			case HealthInput.AvailabilityChanged change -> {
				this.services.handle(change);
				refreshAll(now, effects);
			}
			default -> this.services.handle(input);
		}
		return effects;
	}

	@Override
	public List<HealthEffect> tick(long now) {
		List<HealthEffect> effects = new ArrayList<>();
		Iterator<Map.Entry<AdviceSource, AdviceState>> entries = this.sources.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<AdviceSource, AdviceState> entry = entries.next();
			AdviceState advice = entry.getValue();
			// An ejection whose lease has expired must not determine the
			// next timer, which would be in the past.
			advice.ejections = advice.ejections.stream().filter((ejection) -> now < ejection.expiresAt()).toList();
			if (now >= advice.nextQueryAt) {
				if (advice.latestExpiry(now) <= now && now >= advice.retainUntil) {
					entries.remove();
				}
				else {
					sendQuery(now, entry.getKey(), advice, effects);
				}
			}
		}
		refreshAll(now, effects);
		return effects;
	}

	@Override
	public long nextTick() {
		long next = NO_TIMER;
		for (AdviceState advice : this.sources.values()) {
			next = Math.min(next, advice.nextQueryAt);
			for (ActiveEjection ejection : advice.ejections) {
				next = Math.min(next, ejection.expiresAt());
			}
		}
		return next;
	}

	/**
	 * Returns the ejections of a service that this daemon applies.
	 * @param now the current monotonic time in milliseconds
	 * @param service the service
	 * @return the ejections whose leases have not expired
	 */
	public List<ActiveEjection> activeEjections(long now, ServiceName service) {
		return this.activeEjections.getOrDefault(service, List.of())
			.stream()
			.filter((ejection) -> now < ejection.expiresAt())
			.toList();
	}

	/**
	 * Returns the ejections of a service that this daemon ignores because of the floor.
	 * @param service the service
	 * @return an immutable list
	 */
	public List<ActiveEjection> ignoredEjections(ServiceName service) {
		return this.ignoredEjections.getOrDefault(service, List.of());
	}

	private void sendQuery(long now, AdviceSource source, AdviceState advice, List<HealthEffect> effects) {
		this.sequence++;
		advice.queryTimes.put(this.sequence, now);
		advice.queryTimes.values().removeIf((time) -> time < now - LeaseTiming.LEASE_MS);
		advice.nextQueryAt = now + LeaseTiming.RENEWAL_INTERVAL_MS;
		effects
			.add(new HealthEffect.Send(source.owner, new HealthMessage.EjectionQuery(source.service, this.sequence)));
	}

	private void applyAdvice(DaemonId owner, HealthMessage.EjectionAdvice message) {
		AdviceState advice = this.sources.get(new AdviceSource(message.service(), owner));
		Long queriedAt = (advice != null) ? advice.queryTimes.get(message.sequence()) : null;
		if (advice == null || queriedAt == null || message.sequence() <= advice.latestSequence) {
			return;
		}
		advice.latestSequence = message.sequence();
		advice.retainUntil = queriedAt + LeaseTiming.LEASE_MS;
		advice.ejections = message.ejections()
			.stream()
			.map((ejection) -> new ActiveEjection(ejection.server(), owner, ejection.permit(),
					queriedAt + Math.min(LeaseTiming.LEASE_MS, ejection.remaining()), ejection.strength(),
					ejection.trial(), ejection.evidence()))
			.toList();
	}

	private void refreshAll(long now, List<HealthEffect> effects) {
		Set<ServiceName> services = new LinkedHashSet<>(this.activeEjections.keySet());
		services.addAll(this.ignoredEjections.keySet());
		this.sources.keySet().forEach((source) -> services.add(source.service));
		services.forEach((service) -> refresh(now, service, effects));
	}

	private void refresh(long now, ServiceName service, List<HealthEffect> effects) {
		List<ActiveEjection> unexpired = new ArrayList<>();
		this.sources.forEach((source, advice) -> {
			if (source.service.equals(service)) {
				advice.ejections.stream().filter((ejection) -> now < ejection.expiresAt()).forEach(unexpired::add);
			}
		});
		ServicePlan plan = this.services.plan(service);
		List<ActiveEjection> selected = (plan != null) ? this.floorGuard.select(plan, unexpired) : List.of();
		unexpired.removeAll(selected);
		reportIgnored(now, service, unexpired, effects);
		replace(this.ignoredEjections, service, unexpired);
		if (!selected.equals(this.activeEjections.getOrDefault(service, List.of()))) {
			replace(this.activeEjections, service, selected);
			effects.add(new HealthEffect.ActiveEjectionsChanged(service, selected));
		}
	}

	private void reportIgnored(long now, ServiceName service, List<ActiveEjection> ignoredNow,
			List<HealthEffect> effects) {
		for (ActiveEjection ejection : ignoredNow) {
			if (ignoredEjections(service).stream().noneMatch((earlier) -> earlier.server().equals(ejection.server()))) {
				effects.add(this.audit.entry(now, HealthEvent.FLOOR_GUARD, AuditKind.FLOOR_GUARD, ejection.server(),
						AuditEntries.values("service", service, "owner", ejection.owner(), "strength",
								ejection.strength(), "evidence", ejection.evidence())));
			}
		}
	}

	private static void replace(Map<ServiceName, List<ActiveEjection>> map, ServiceName service,
			List<ActiveEjection> ejections) {
		if (ejections.isEmpty()) {
			map.remove(service);
		}
		else {
			map.put(service, List.copyOf(ejections));
		}
	}

	private record AdviceSource(ServiceName service, DaemonId owner) {
	}

	/** The latest advice of one owner about one service. */
	private static final class AdviceState {

		/** Times in milliseconds at which the queries were sent, by sequence number. */
		private final Map<Long, Long> queryTimes = new HashMap<>();

		private List<ActiveEjection> ejections = List.of();

		private long latestSequence = -1;

		private long nextQueryAt;

		private long retainUntil = Long.MIN_VALUE;

		private long latestExpiry(long now) {
			return this.ejections.stream().mapToLong(ActiveEjection::expiresAt).max().orElse(now);
		}

	}

}
