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
import org.wigeonmast.health.internal.ServiceDirectory;

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
	private static final long ATTEMPT_TIMEOUT_MS = 300;

	/** Minimum time in milliseconds before a denied ejection is requested again. */
	private static final long RETRY_DELAY_MS = 500;

	/**
	 * Upper bound in milliseconds of the additional delay by which the retries of
	 * competing owners differ.
	 */
	private static final int RETRY_JITTER_MS = 400;

	/**
	 * Time in milliseconds between notices to the entry daemons while there are
	 * ejections.
	 */
	private static final long NOTICE_INTERVAL_MS = 2_000;

	private final DaemonId self;

	private final Region region;

	private final ServiceName service;

	private final ServiceDirectory services = new ServiceDirectory();

	private final Map<BackendServerId, Ejection> ejections = new LinkedHashMap<>();

	private Map<FailureDomain, List<DaemonId>> voters = Map.of();

	private long sequence;

	private long nextNoticeAt;

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
		this.services.handle(new HealthInput.PlanChanged(plan));
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		List<HealthEffect> effects = new ArrayList<>();
		switch (input) {
			case HealthInput.EjectionRequested request -> requestEjection(now, request, effects);
			case HealthInput.EjectionWithdrawn(BackendServerId server) -> {
				Ejection ejection = this.ejections.get(server);
				if (ejection != null) {
					ejection.requestActive = false;
				}
			}
			case HealthInput.VotersChanged change -> this.voters = change.voters();
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.PromiseReply reply) ->
				handleReply(now, sender, reply, effects);
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.EjectionQuery query) ->
				effects.add(new HealthEffect.Send(sender, createAdvice(now, query)));
			default -> this.services.handle(input);
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
		boolean anyHeld = this.ejections.values()
			.stream()
			.anyMatch((ejection) -> ejection.requestActive && ejection.permitHeld);
		if (anyHeld && now >= this.nextNoticeAt) {
			broadcastNotice(now, effects);
		}
		return effects;
	}

	@Override
	public long nextTick() {
		long next = NO_TIMER;
		for (Ejection ejection : this.ejections.values()) {
			next = Math.min(next, ejection.nextTick());
			if (ejection.requestActive && ejection.permitHeld) {
				next = Math.min(next, this.nextNoticeAt);
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
	public boolean holdsPermit(long now, BackendServerId server) {
		Ejection ejection = this.ejections.get(server);
		return ejection != null && ejection.requestActive && ejection.attempt != null
				&& now < ejection.attempt.heldUntil();
	}

	private void requestEjection(long now, HealthInput.EjectionRequested request, List<HealthEffect> effects) {
		Ejection ejection = this.ejections.computeIfAbsent(request.server(), Ejection::new);
		boolean trialChanged = ejection.requestActive && ejection.trial != request.trial();
		ejection.strength = request.strength();
		ejection.trial = request.trial();
		ejection.evidence = request.evidence();
		ejection.requestActive = true;
		if (trialChanged && ejection.permitHeld) {
			broadcastNotice(now, effects);
		}
	}

	private void handleReply(long now, DaemonId sender, HealthMessage.PromiseReply reply, List<HealthEffect> effects) {
		Ejection ejection = this.ejections.get(reply.server());
		if (ejection == null || ejection.attempt == null || ejection.attempt.permit() != reply.permit()) {
			return;
		}
		ejection.attempt.recordReply(sender, reply.sequence(), reply.refusal());
		if (!ejection.permitHeld && ejection.requestActive && now < ejection.attempt.heldUntil()) {
			ejection.permitHeld = true;
			ejection.nextRenewalAt = ejection.attempt.lastSentAt() + LeaseTiming.RENEWAL_INTERVAL_MS;
			ejection.denialReasons.clear();
			effects.add(new HealthEffect.PermitObtained(reply.server(), reply.permit()));
			broadcastNotice(now, effects);
		}
	}

	private void advance(long now, Ejection ejection, List<HealthEffect> effects) {
		PermitAttempt attempt = ejection.attempt;
		if (ejection.permitHeld && attempt != null && now >= attempt.heldUntil()) {
			int permit = attempt.permit();
			ejection.permitHeld = false;
			ejection.attempt = null;
			ejection.nextAttemptAt = now;
			attempt = null;
			effects.add(new HealthEffect.PermitLost(ejection.server, permit));
		}
		if (!ejection.requestActive) {
			releaseWithdrawn(now, ejection, effects);
		}
		else if (attempt == null) {
			if (now >= ejection.nextAttemptAt) {
				tryNextPermit(now, ejection, effects);
			}
		}
		else if (ejection.permitHeld) {
			renew(now, ejection, attempt, effects);
		}
		else if (now >= attempt.lastSentAt() + ATTEMPT_TIMEOUT_MS || attempt.isUnattainable()) {
			abandonAttempt(now, ejection, effects);
			tryNextPermit(now, ejection, effects);
		}
	}

	private void renew(long now, Ejection ejection, PermitAttempt attempt, List<HealthEffect> effects) {
		if (now < ejection.nextRenewalAt) {
			return;
		}
		if (usablePermits() > attempt.permit() && attempt.domain().equals(plan().permitDomain(attempt.permit()))) {
			sendRequests(now, ejection, effects);
		}
		ejection.nextRenewalAt = now + LeaseTiming.RENEWAL_INTERVAL_MS;
	}

	private void releaseWithdrawn(long now, Ejection ejection, List<HealthEffect> effects) {
		// Until the advice expires, a daemon may still apply the ejection.
		if (now >= ejection.advisedUntil) {
			abandonAttempt(now, ejection, effects);
			this.ejections.remove(ejection.server);
		}
	}

	private void abandonAttempt(long now, Ejection ejection, List<HealthEffect> effects) {
		PermitAttempt attempt = ejection.attempt;
		if (attempt == null) {
			return;
		}
		ejection.denialReasons.put(attempt.permit(), attempt.describeReplies());
		ejection.attempt = null;
		ejection.permitHeld = false;
		// No other server must get the permit while a daemon may still apply
		// this ejection. In that case nothing is released and the promises
		// expire.
		if (now >= ejection.advisedUntil) {
			this.sequence++;
			HealthMessage release = new HealthMessage.PromiseRelease(this.service, attempt.permit(), ejection.server,
					this.sequence);
			attempt.contactedDaemons().forEach((voter) -> effects.add(new HealthEffect.Send(voter, release)));
		}
	}

	private void tryNextPermit(long now, Ejection ejection, List<HealthEffect> effects) {
		for (int permit : candidatePermits()) {
			if (!ejection.denialReasons.containsKey(permit) && !isInUse(permit)) {
				ejection.attempt = new PermitAttempt(permit, plan().permitDomain(permit));
				sendRequests(now, ejection, effects);
				return;
			}
		}
		String reasons = ejection.denialReasons.isEmpty() ? "no permit is left above the floor"
				: ejection.denialReasons.entrySet()
					.stream()
					.map((entry) -> "permit " + entry.getKey() + ": " + entry.getValue())
					.collect(Collectors.joining("; "));
		effects.add(new HealthEffect.PermitDenied(ejection.server, reasons));
		ejection.denialReasons.clear();
		int jitter = Math.floorMod(31 * this.self.hashCode() + ejection.server.hashCode(), RETRY_JITTER_MS);
		ejection.nextAttemptAt = now + RETRY_DELAY_MS + jitter;
	}

	private void sendRequests(long now, Ejection ejection, List<HealthEffect> effects) {
		this.sequence++;
		PermitAttempt attempt = ejection.attempt;
		if (attempt == null) {
			return;
		}
		List<DaemonId> receivers = voters(attempt.permit());
		attempt.recordRequests(now, this.sequence, receivers);
		HealthMessage request = new HealthMessage.PromiseRequest(this.service, attempt.permit(), ejection.server,
				this.sequence, ejection.evidence);
		receivers.forEach((voter) -> effects.add(new HealthEffect.Send(voter, request)));
	}

	/**
	 * Returns the permits that are obtainable by this daemon's view, those of its own
	 * region first.
	 * @return the numbers of the permits
	 */
	private List<Integer> candidatePermits() {
		ServicePlan plan = plan();
		return IntStream.range(0, usablePermits())
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
	private int usablePermits() {
		return plan().permitCount() - this.services.unavailableCount(plan());
	}

	private boolean isInUse(int permit) {
		return this.ejections.values()
			.stream()
			.anyMatch((other) -> other.attempt != null && other.attempt.permit() == permit);
	}

	private List<DaemonId> voters(int permit) {
		ServicePlan plan = plan();
		return plan.domains().isEmpty() ? List.of()
				: this.voters.getOrDefault(plan.permitDomain(permit).name(), List.of());
	}

	private HealthMessage createAdvice(long now, HealthMessage.EjectionQuery query) {
		List<HealthMessage.AdvisedEjection> advisedEjections = new ArrayList<>();
		for (Ejection ejection : this.ejections.values()) {
			PermitAttempt attempt = ejection.attempt;
			if (attempt != null && ejection.requestActive && ejection.permitHeld && now < attempt.heldUntil()) {
				ejection.advisedUntil = Math.max(ejection.advisedUntil, attempt.heldUntil());
				advisedEjections.add(new HealthMessage.AdvisedEjection(ejection.server, attempt.permit(),
						attempt.heldUntil() - now, ejection.strength, ejection.trial, ejection.evidence));
			}
		}
		return new HealthMessage.EjectionAdvice(this.service, query.sequence(), advisedEjections);
	}

	private void broadcastNotice(long now, List<HealthEffect> effects) {
		this.nextNoticeAt = now + NOTICE_INTERVAL_MS;
		effects.add(new HealthEffect.Broadcast(new HealthMessage.EjectionNotice(this.service)));
	}

	private ServicePlan plan() {
		ServicePlan plan = this.services.plan(this.service);
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

		private final Map<Integer, String> denialReasons = new TreeMap<>();

		private @Nullable PermitAttempt attempt;

		private boolean requestActive;

		private boolean permitHeld;

		private boolean trial;

		private double strength;

		private String evidence = "";

		private long nextAttemptAt = Long.MIN_VALUE;

		private long nextRenewalAt = Long.MIN_VALUE;

		private long advisedUntil = Long.MIN_VALUE;

		private Ejection(BackendServerId server) {
			this.server = server;
		}

		private long nextTick() {
			if (!this.requestActive) {
				return this.advisedUntil;
			}
			if (this.attempt == null) {
				return this.nextAttemptAt;
			}
			return this.permitHeld ? Math.min(this.nextRenewalAt, this.attempt.heldUntil())
					: this.attempt.lastSentAt() + ATTEMPT_TIMEOUT_MS;
		}

	}

}
