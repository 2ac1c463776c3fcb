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
import org.wigeonmast.health.internal.ServiceViews;

/**
 * The ejections that one entry daemon applies, each for the remaining time of its lease.
 * <p>
 * Wiring: each daemon runs one instance for all services. It accepts
 * {@link HealthInput.Received} with notices and advice, {@link HealthInput.PlanChanged}
 * and {@link HealthInput.AvailabilityChanged}. Pass {@link HealthEffect.Followed} to the
 * request path, which compares {@link FollowedEjection#until()} with the clock at each
 * use.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: a lease is counted from
 * the time of the query, so it expires before that of the owner; by this daemon's own
 * view, the ejections that it applies leave the floor in service.
 */
public final class EjectionView implements Component<HealthInput, HealthEffect> {

	private final AuditEntries audit;

	private final ServiceViews views = new ServiceViews();

	private final FloorGuard guard = new FloorGuard(this.views);

	private final Map<Source, Advice> sources = new HashMap<>();

	private final Map<ServiceName, List<FollowedEjection>> followed = new HashMap<>();

	private final Map<ServiceName, List<FollowedEjection>> ignored = new HashMap<>();

	private long sequence;

	/**
	 * Creates an instance without ejections.
	 * @param self this daemon
	 */
	public EjectionView(DaemonId self) {
		this.audit = new AuditEntries(self);
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.Received(DaemonId owner, HealthMessage.EjectionNotice notice) -> {
				Source source = new Source(notice.service(), owner);
				Advice advice = this.sources.computeIfAbsent(source, (added) -> new Advice());
				advice.keepUntil = now + LeaseTiming.LEASE_MS;
				query(now, source, advice, effects);
			}
			case HealthInput.Received(DaemonId owner, HealthMessage.EjectionAdvice advice) -> {
				take(owner, advice);
				refresh(now, advice.service(), effects);
			}
			case HealthInput.PlanChanged(ServicePlan plan) -> {
				this.views.handle(input);
				refresh(now, plan.service(), effects);
			}
			case HealthInput.AvailabilityChanged changed -> {
				this.views.handle(changed);
				refreshAll(now, effects);
			}
			default -> this.views.handle(input);
		}
		return effects;
	}

	@Override
	public List<HealthEffect> tick(long now) {
		List<HealthEffect> effects = new ArrayList<>();
		Iterator<Map.Entry<Source, Advice>> entries = this.sources.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Source, Advice> entry = entries.next();
			Advice advice = entry.getValue();
			// An ejection whose lease has expired must not determine the next timer,
			// which
			// would be in the past.
			advice.ejections = advice.ejections.stream().filter((ejection) -> now < ejection.until()).toList();
			if (now >= advice.nextQuery) {
				if (advice.until(now) <= now && now >= advice.keepUntil) {
					entries.remove();
				}
				else {
					query(now, entry.getKey(), advice, effects);
				}
			}
		}
		refreshAll(now, effects);
		return effects;
	}

	@Override
	public long nextTick() {
		long next = NO_TIMER;
		for (Advice advice : this.sources.values()) {
			next = Math.min(next, advice.nextQuery);
			for (FollowedEjection ejection : advice.ejections) {
				next = Math.min(next, ejection.until());
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
	public List<FollowedEjection> followed(long now, ServiceName service) {
		return this.followed.getOrDefault(service, List.of())
			.stream()
			.filter((ejection) -> now < ejection.until())
			.toList();
	}

	/**
	 * Returns the ejections of a service that this daemon ignores because of the floor.
	 * @param service the service
	 * @return an immutable list
	 */
	public List<FollowedEjection> ignored(ServiceName service) {
		return this.ignored.getOrDefault(service, List.of());
	}

	private void query(long now, Source source, Advice advice, List<HealthEffect> effects) {
		this.sequence++;
		advice.sent.put(this.sequence, now);
		advice.sent.values().removeIf((time) -> time < now - LeaseTiming.LEASE_MS);
		advice.nextQuery = now + LeaseTiming.RENEWAL_INTERVAL_MS;
		effects
			.add(new HealthEffect.Send(source.owner, new HealthMessage.EjectionQuery(source.service, this.sequence)));
	}

	private void take(DaemonId owner, HealthMessage.EjectionAdvice message) {
		Advice advice = this.sources.get(new Source(message.service(), owner));
		Long asked = (advice != null) ? advice.sent.get(message.sequence()) : null;
		if (advice == null || asked == null || message.sequence() <= advice.newest) {
			return;
		}
		advice.newest = message.sequence();
		advice.keepUntil = asked + LeaseTiming.LEASE_MS;
		advice.ejections = message.ejections()
			.stream()
			.map((ejection) -> new FollowedEjection(ejection.server(), owner, ejection.permit(),
					asked + Math.min(LeaseTiming.LEASE_MS, ejection.remaining()), ejection.strength(), ejection.trial(),
					ejection.evidence()))
			.toList();
	}

	private void refreshAll(long now, List<HealthEffect> effects) {
		Set<ServiceName> services = new LinkedHashSet<>(this.followed.keySet());
		services.addAll(this.ignored.keySet());
		this.sources.keySet().forEach((source) -> services.add(source.service));
		services.forEach((service) -> refresh(now, service, effects));
	}

	private void refresh(long now, ServiceName service, List<HealthEffect> effects) {
		List<FollowedEjection> lasting = new ArrayList<>();
		this.sources.forEach((source, advice) -> {
			if (source.service.equals(service)) {
				advice.ejections.stream().filter((ejection) -> now < ejection.until()).forEach(lasting::add);
			}
		});
		ServicePlan plan = this.views.plan(service);
		List<FollowedEjection> selected = (plan != null) ? this.guard.select(plan, lasting) : List.of();
		lasting.removeAll(selected);
		report(now, service, lasting, effects);
		replace(this.ignored, service, lasting);
		if (!selected.equals(this.followed.getOrDefault(service, List.of()))) {
			replace(this.followed, service, selected);
			effects.add(new HealthEffect.Followed(service, selected));
		}
	}

	private void report(long now, ServiceName service, List<FollowedEjection> ignoredNow, List<HealthEffect> effects) {
		for (FollowedEjection ejection : ignoredNow) {
			if (ignored(service).stream().noneMatch((earlier) -> earlier.server().equals(ejection.server()))) {
				effects.add(this.audit.entry(now, HealthEvent.FLOOR_GUARD, AuditKind.FLOOR_GUARD, ejection.server(),
						AuditEntries.values("service", service, "owner", ejection.owner(), "strength",
								ejection.strength(), "evidence", ejection.evidence())));
			}
		}
	}

	private static void replace(Map<ServiceName, List<FollowedEjection>> map, ServiceName service,
			List<FollowedEjection> ejections) {
		if (ejections.isEmpty()) {
			map.remove(service);
		}
		else {
			map.put(service, List.copyOf(ejections));
		}
	}

	private record Source(ServiceName service, DaemonId owner) {
	}

	/** The latest advice of one owner about one service. */
	private static final class Advice {

		/** Times in milliseconds at which the queries were sent, by sequence number. */
		private final Map<Long, Long> sent = new HashMap<>();

		private List<FollowedEjection> ejections = List.of();

		private long newest = -1;

		private long nextQuery;

		private long keepUntil = Long.MIN_VALUE;

		private long until(long now) {
			return this.ejections.stream().mapToLong(FollowedEjection::until).max().orElse(now);
		}

	}

}
