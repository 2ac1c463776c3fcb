package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.internal.PermitAttempt;
import org.wigeonmast.health.internal.ServiceViews;

/**
 * The ejection permits of one service, which this class obtains and renews for the owner.
 * <p>
 * {@link HealthMonitor} contains an instance. It accepts
 * {@link HealthInput.EjectionRequested} and {@link HealthInput.EjectionWithdrawn},
 * changes of plans, voters and availability, and {@link HealthInput.MessageReceived} with
 * promise replies and ejection queries.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: a permit is held only
 * while promises of a majority of the maximum number of daemons of its domain are in
 * force, each counted from the time its request was sent; a promise is released only when
 * no daemon can still apply an ejection that depends on it.
 */
public final class EjectionPermits implements Component<HealthInput, HealthEffect> {

	/** Time in milliseconds to wait for promises before the next permit is tried. */
	private static final long ATTEMPT = 300;

	/** Minimum time in milliseconds before a denied ejection is requested again. */
	private static final long RETRY = 500;

	/**
	 * Upper bound in milliseconds of the additional delay by which the retries of
	 * competing owners differ.
	 */
	private static final int RETRY_SPREAD = 400;

	/**
	 * Time in milliseconds between notices to the entry daemons while there are
	 * ejections.
	 */
	private static final long NOTICE = 2_000;

	private final DaemonId self;

	private final Region region;

	private final ServiceName service;

	private final ServiceViews views = new ServiceViews();

	private final Map<BackendServerId, Ejection> ejections = new LinkedHashMap<>();

	private Map<FailureDomain, List<DaemonId>> voters = Map.of();

	private long sequence;

	private long nextNotice;

	/**
	 * Creates an instance without permits.
	 * @param self this daemon
	 * @param region the region whose permits are tried first
	 * @param plan the service as the manifest describes it
	 */
	public EjectionPermits(DaemonId self, Region region, ServicePlan plan) {
		this.self = self;
		this.region = region;
		this.service = plan.service();
		this.views.handle(new HealthInput.PlanChanged(plan));
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.EjectionRequested wanted -> want(now, wanted, effects);
			case HealthInput.EjectionWithdrawn(BackendServerId server) -> {
				Ejection ejection = this.ejections.get(server);
				if (ejection != null) {
					ejection.wanted = false;
				}
			}
			case HealthInput.VotersChanged changed -> this.voters = changed.voters();
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.PromiseReply reply) ->
				reply(now, sender, reply, effects);
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.EjectionQuery query) ->
				effects.add(new HealthEffect.Send(sender, advice(now, query)));
			default -> this.views.handle(input);
		}
		effects.addAll(tick(now));
		return effects;
	}

	@Override
	public List<HealthEffect> tick(long now) {
		List<HealthEffect> effects = new ArrayList<>();
		for (Ejection ejection : List.copyOf(this.ejections.values())) {
			advance(now, ejection, effects);
		}
		boolean held = this.ejections.values().stream().anyMatch((ejection) -> ejection.wanted && ejection.held);
		if (held && now >= this.nextNotice) {
			notice(now, effects);
		}
		return effects;
	}

	@Override
	public long nextTick() {
		long next = NO_TIMER;
		for (Ejection ejection : this.ejections.values()) {
			next = Math.min(next, ejection.nextTick());
			if (ejection.wanted && ejection.held) {
				next = Math.min(next, this.nextNotice);
			}
		}
		return next;
	}

	/**
	 * Returns whether a permit for the ejection of a server is held.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 * @return {@code true} if the ejection is requested and its permit is held
	 */
	public boolean holds(long now, BackendServerId server) {
		Ejection ejection = this.ejections.get(server);
		return ejection != null && ejection.wanted && ejection.attempt != null && now < ejection.attempt.heldUntil();
	}

	private void want(long now, HealthInput.EjectionRequested wanted, List<HealthEffect> effects) {
		Ejection ejection = this.ejections.computeIfAbsent(wanted.server(), Ejection::new);
		boolean described = ejection.wanted && ejection.trial != wanted.trial();
		ejection.strength = wanted.strength();
		ejection.trial = wanted.trial();
		ejection.evidence = wanted.evidence();
		ejection.wanted = true;
		if (described && ejection.held) {
			notice(now, effects);
		}
	}

	private void reply(long now, DaemonId sender, HealthMessage.PromiseReply reply, List<HealthEffect> effects) {
		Ejection ejection = this.ejections.get(reply.server());
		if (ejection == null || ejection.attempt == null || ejection.attempt.permit() != reply.permit()) {
			return;
		}
		ejection.attempt.reply(sender, reply.sequence(), reply.refusal());
		if (!ejection.held && ejection.wanted && now < ejection.attempt.heldUntil()) {
			ejection.held = true;
			ejection.nextRenewal = ejection.attempt.sentAt() + LeaseTiming.RENEWAL_INTERVAL_MS;
			ejection.reasons.clear();
			effects.add(new HealthEffect.PermitObtained(reply.server(), reply.permit()));
			notice(now, effects);
		}
	}

	private void advance(long now, Ejection ejection, List<HealthEffect> effects) {
		PermitAttempt attempt = ejection.attempt;
		if (ejection.held && attempt != null && now >= attempt.heldUntil()) {
			int permit = attempt.permit();
			ejection.held = false;
			ejection.attempt = null;
			ejection.nextAttempt = now;
			attempt = null;
			effects.add(new HealthEffect.PermitLost(ejection.server, permit));
		}
		if (!ejection.wanted) {
			retire(now, ejection, effects);
		}
		else if (attempt == null) {
			if (now >= ejection.nextAttempt) {
				startNext(now, ejection, effects);
			}
		}
		else if (ejection.held) {
			renew(now, ejection, attempt, effects);
		}
		else if (now >= attempt.sentAt() + ATTEMPT || attempt.hopeless()) {
			giveUp(now, ejection, effects);
			startNext(now, ejection, effects);
		}
	}

	private void renew(long now, Ejection ejection, PermitAttempt attempt, List<HealthEffect> effects) {
		if (now < ejection.nextRenewal) {
			return;
		}
		if (spare() > attempt.permit() && attempt.domain().equals(plan().permitDomain(attempt.permit()))) {
			ask(now, ejection, effects);
		}
		ejection.nextRenewal = now + LeaseTiming.RENEWAL_INTERVAL_MS;
	}

	private void retire(long now, Ejection ejection, List<HealthEffect> effects) {
		// Before that time, a daemon may still apply the ejection.
		if (now >= ejection.advisedUntil) {
			giveUp(now, ejection, effects);
			this.ejections.remove(ejection.server);
		}
	}

	private void giveUp(long now, Ejection ejection, List<HealthEffect> effects) {
		PermitAttempt attempt = ejection.attempt;
		if (attempt == null) {
			return;
		}
		ejection.reasons.put(attempt.permit(), attempt.reasons());
		ejection.attempt = null;
		ejection.held = false;
		// No other server must get the permit while a daemon may still apply this
		// ejection.
		// In that case nothing is released and the promises expire.
		if (now >= ejection.advisedUntil) {
			this.sequence++;
			HealthMessage release = new HealthMessage.PromiseRelease(this.service, attempt.permit(), ejection.server,
					this.sequence);
			attempt.asked().forEach((voter) -> effects.add(new HealthEffect.Send(voter, release)));
		}
	}

	private void startNext(long now, Ejection ejection, List<HealthEffect> effects) {
		for (int permit : candidates()) {
			if (!ejection.reasons.containsKey(permit) && !inUse(permit)) {
				ejection.attempt = new PermitAttempt(permit, plan().permitDomain(permit));
				ask(now, ejection, effects);
				return;
			}
		}
		String reasons = ejection.reasons.isEmpty() ? "no permit is left above the floor"
				: ejection.reasons.entrySet()
					.stream()
					.map((entry) -> "permit " + entry.getKey() + ": " + entry.getValue())
					.collect(Collectors.joining("; "));
		effects.add(new HealthEffect.PermitDenied(ejection.server, reasons));
		ejection.reasons.clear();
		int spread = Math.floorMod(31 * this.self.hashCode() + ejection.server.hashCode(), RETRY_SPREAD);
		ejection.nextAttempt = now + RETRY + spread;
	}

	private void ask(long now, Ejection ejection, List<HealthEffect> effects) {
		this.sequence++;
		PermitAttempt attempt = ejection.attempt;
		if (attempt == null) {
			return;
		}
		List<DaemonId> asked = voters(attempt.permit());
		attempt.ask(now, this.sequence, asked);
		HealthMessage request = new HealthMessage.PromiseRequest(this.service, attempt.permit(), ejection.server,
				this.sequence, ejection.evidence);
		asked.forEach((voter) -> effects.add(new HealthEffect.Send(voter, request)));
	}

	/**
	 * Returns the permits that are obtainable by this daemon's view, those of its own
	 * region first.
	 * @return the numbers of the permits
	 */
	private List<Integer> candidates() {
		ServicePlan plan = plan();
		return IntStream.range(0, spare())
			.filter((permit) -> voters(permit).size() >= plan.permitDomain(permit).majority())
			.boxed()
			.sorted(Comparator.comparing((permit) -> !plan.permitDomain(permit).name().region().equals(this.region)))
			.toList();
	}

	/**
	 * Returns the number of permits that remain after one is deducted for each server
	 * that is out of service for another reason.
	 * @return the number of usable permits, negative if more servers are out of service
	 * than there are permits
	 */
	private int spare() {
		return plan().permitCount() - this.views.unavailableCount(plan());
	}

	private boolean inUse(int permit) {
		return this.ejections.values()
			.stream()
			.anyMatch((other) -> other.attempt != null && other.attempt.permit() == permit);
	}

	private List<DaemonId> voters(int permit) {
		ServicePlan plan = plan();
		return plan.domains().isEmpty() ? List.of()
				: this.voters.getOrDefault(plan.permitDomain(permit).name(), List.of());
	}

	private HealthMessage advice(long now, HealthMessage.EjectionQuery query) {
		List<HealthMessage.AdvisedEjection> advised = new ArrayList<>();
		for (Ejection ejection : this.ejections.values()) {
			PermitAttempt attempt = ejection.attempt;
			if (attempt != null && ejection.wanted && ejection.held && now < attempt.heldUntil()) {
				ejection.advisedUntil = Math.max(ejection.advisedUntil, attempt.heldUntil());
				advised.add(new HealthMessage.AdvisedEjection(ejection.server, attempt.permit(),
						attempt.heldUntil() - now, ejection.strength, ejection.trial, ejection.evidence));
			}
		}
		return new HealthMessage.EjectionAdvice(this.service, query.sequence(), advised);
	}

	private void notice(long now, List<HealthEffect> effects) {
		this.nextNotice = now + NOTICE;
		effects.add(new HealthEffect.Broadcast(new HealthMessage.EjectionNotice(this.service)));
	}

	private ServicePlan plan() {
		ServicePlan plan = this.views.plan(this.service);
		if (plan == null) {
			throw new IllegalStateException("No plan of the service " + this.service + " is known");
		}
		return plan;
	}

	/**
	 * The ejection of one server: requested, in force, or withdrawn while daemons may
	 * still apply it.
	 */
	private static final class Ejection {

		private final BackendServerId server;

		private final Map<Integer, String> reasons = new TreeMap<>();

		private @Nullable PermitAttempt attempt;

		private boolean wanted;

		private boolean held;

		private boolean trial;

		private double strength;

		private String evidence = "";

		private long nextAttempt = Long.MIN_VALUE;

		private long nextRenewal = Long.MIN_VALUE;

		private long advisedUntil = Long.MIN_VALUE;

		private Ejection(BackendServerId server) {
			this.server = server;
		}

		private long nextTick() {
			if (!this.wanted) {
				return this.advisedUntil;
			}
			if (this.attempt == null) {
				return this.nextAttempt;
			}
			return this.held ? Math.min(this.nextRenewal, this.attempt.heldUntil()) : this.attempt.sentAt() + ATTEMPT;
		}

	}

}
