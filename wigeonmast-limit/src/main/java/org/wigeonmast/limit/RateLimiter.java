package org.wigeonmast.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Step;

/**
 * Fleet-wide rate limiter for callers and services. Each daemon enforces its share of
 * every limit with a token bucket and, for the limits that it owns, grants shares to all
 * daemons.
 * <p>
 * Thread safety: none; the control thread owns it. All times are monotonic and in
 * milliseconds. Invariants: a daemon admits requests at the rate of the share that it
 * leased or, without a lease, at an equal share of the limit; a request that any subject
 * refuses consumes no token of any subject.
 * <p>
 * Wiring: pass {@link LimitInput.Check} before the request is dispatched, with the
 * caller's and the service's limits from the manifest, without those that are 0. The
 * first effect is the answer and is always returned by the same call. A refused request
 * is answered as not run.
 */
public final class RateLimiter implements Component<LimitInput, LimitEffect> {

	/** Interval in milliseconds at which shares are renewed. */
	private static final long RENEWAL_INTERVAL_MS = 200;

	/** Time in milliseconds after which the bucket of an unused limit is removed. */
	private static final long IDLE_RETENTION_MS = 10_000;

	/** Minimum time in milliseconds between two reports of refusals by one limit. */
	private static final long REPORT_INTERVAL_MS = 1000;

	private final Map<LimitSubject, TokenBucket> buckets = new LinkedHashMap<>();

	private final Map<LimitSubject, ShareAllocator> allocators = new HashMap<>();

	private final DaemonId self;

	private List<DaemonId> liveDaemons;

	private long nextRenewal = NO_TIMER;

	/**
	 * Creates a rate limiter of a daemon that knows no other daemons.
	 * @param self this daemon
	 */
	public RateLimiter(DaemonId self) {
		this.self = self;
		this.liveDaemons = List.of(self);
	}

	@Override
	public List<LimitEffect> handle(long now, LimitInput input) {
		List<LimitEffect> effects = new ArrayList<>();
		switch (input) {
			case LimitInput.Check check -> check(now, check, effects);
			case LimitInput.Received received -> onMessage(now, received.sender(), received.message(), effects);
			case LimitInput.MembersChanged membersChange -> {
				this.liveDaemons = membersChange.live().isEmpty() ? List.of(this.self) : membersChange.live();
				this.allocators.keySet().removeIf((subject) -> !this.self.equals(owner(subject)));
			}
		}
		return effects;
	}

	@Override
	public List<LimitEffect> tick(long now) {
		if (now < this.nextRenewal) {
			return List.of();
		}
		List<LimitEffect> effects = new ArrayList<>();
		this.buckets.values().removeIf((bucket) -> now - bucket.checkedAt > IDLE_RETENTION_MS);
		this.allocators.values().removeIf((allocator) -> allocator.isIdle(now));
		this.buckets.forEach((subject, bucket) -> {
			double demand = bucket.updateDemand(now);
			effects.add(
					new LimitEffect.Send(owner(subject), new LimitMessage.ShareRequest(subject, demand, bucket.limit)));
			if (bucket.expireLease(now)) {
				effects.add(new LimitEffect.Logged(LimitEvent.SHARE_EXPIRED, List.of(subject, owner(subject))));
			}
		});
		this.nextRenewal = (this.buckets.isEmpty() && this.allocators.isEmpty()) ? NO_TIMER : now + RENEWAL_INTERVAL_MS;
		return effects;
	}

	@Override
	public long nextTick() {
		return this.nextRenewal;
	}

	private void check(long now, LimitInput.Check check, List<LimitEffect> effects) {
		LimitSubject refusingSubject = null;
		long retryAfter = 0;
		List<TokenBucket> checkedBuckets = new ArrayList<>();
		for (Map.Entry<LimitSubject, Long> entry : check.limits().entrySet()) {
			TokenBucket bucket = this.buckets.computeIfAbsent(entry.getKey(), (subject) -> new TokenBucket(now));
			bucket.recordCheck(now, entry.getValue(), this.liveDaemons.size());
			if (bucket.tokens < 1) {
				refusingSubject = entry.getKey();
				retryAfter = Math.max(retryAfter, bucket.timeToNextTokenMs());
			}
			checkedBuckets.add(bucket);
		}
		this.nextRenewal = Math.min(this.nextRenewal, now + RENEWAL_INTERVAL_MS);
		if (refusingSubject == null) {
			checkedBuckets.forEach((bucket) -> bucket.tokens--);
			effects.add(new LimitEffect.Admitted(check.request()));
			return;
		}
		effects.add(new LimitEffect.Refused(check.request(), refusingSubject, retryAfter));
		report(now, refusingSubject, this.buckets.get(refusingSubject), effects);
	}

	// An exceeded limit refuses many requests per second, so they are reported in
	// batches.
	private void report(long now, LimitSubject subject, @Nullable TokenBucket bucket, List<LimitEffect> effects) {
		if (bucket == null) {
			return;
		}
		bucket.refusedRequests++;
		if (now - bucket.reportedAt >= REPORT_INTERVAL_MS) {
			Map<String, String> evidence = new TreeMap<>();
			evidence.put("requests", Long.toString(bucket.refusedRequests));
			evidence.put("share", Double.toString(bucket.rate));
			effects.add(new LimitEffect.Audit(new AuditEntry(now, AuditKind.REFUSED, subject.toString(), Step.LIMIT,
					this.self.toString(), evidence)));
			effects.add(new LimitEffect.Logged(LimitEvent.LIMIT_REACHED, List.of(bucket.refusedRequests, subject)));
			bucket.refusedRequests = 0;
			bucket.reportedAt = now;
		}
	}

	private void onMessage(long now, DaemonId sender, LimitMessage message, List<LimitEffect> effects) {
		switch (message) {
			case LimitMessage.ShareRequest request -> {
				ShareAllocator allocator = this.allocators.computeIfAbsent(request.subject(),
						(subject) -> new ShareAllocator(now));
				double rate = allocator.grantShare(now, sender, request.demand(), request.limit(),
						this.liveDaemons.size());
				effects.add(new LimitEffect.Send(sender,
						new LimitMessage.ShareGrant(request.subject(), rate, ShareAllocator.LEASE_MS)));
				this.nextRenewal = Math.min(this.nextRenewal, now + RENEWAL_INTERVAL_MS);
			}
			case LimitMessage.ShareGrant grant -> {
				TokenBucket bucket = this.buckets.get(grant.subject());
				if (bucket != null && sender.equals(owner(grant.subject()))) {
					bucket.applyGrant(now, grant.rate(), grant.lease());
				}
			}
		}
	}

	// Rendezvous hashing: when a daemon is removed, only the subjects that it owned get
	// another owner.
	private DaemonId owner(LimitSubject subject) {
		return this.liveDaemons.stream()
			.max(Comparator.comparingInt((DaemonId daemon) -> score(daemon, subject))
				.thenComparing(Comparator.naturalOrder()))
			.orElse(this.self);
	}

	private static int score(DaemonId daemon, LimitSubject subject) {
		int hash = (daemon.name() + "/" + subject).hashCode() * 0x9E3779B1;
		return hash ^ (hash >>> 15);
	}

	/** Token bucket for this daemon's share of one limit, with the local demand on it. */
	private static final class TokenBucket {

		/** Capacity of the bucket in seconds of its rate. */
		private static final double BURST_SECONDS = 1;

		/** Weight of the latest interval in the moving average of the demand. */
		private static final double DEMAND_SMOOTHING = 0.3;

		private double tokens;

		private double rate;

		private long limit;

		private double demand;

		private long checks;

		private long refilledAt;

		private long checkedAt;

		private long demandAt;

		private long leaseExpiresAt;

		private boolean hasLease;

		private long refusedRequests;

		private long reportedAt;

		private TokenBucket(long now) {
			this.refilledAt = now;
			this.demandAt = now;
			this.reportedAt = now - REPORT_INTERVAL_MS;
			this.tokens = 1;
		}

		private void recordCheck(long now, long newLimit, int daemons) {
			this.limit = newLimit;
			if (!this.hasLease || now >= this.leaseExpiresAt) {
				this.rate = this.limit / (double) daemons;
			}
			refill(now);
			this.checks++;
			this.checkedAt = now;
		}

		private void applyGrant(long now, double grantedRate, long leaseMs) {
			refill(now);
			this.rate = grantedRate;
			this.hasLease = true;
			this.leaseExpiresAt = now + leaseMs;
		}

		private void refill(long now) {
			double added = this.rate * (now - this.refilledAt) / 1000;
			this.tokens = Math.min(Math.max(1, this.rate * BURST_SECONDS), this.tokens + added);
			this.refilledAt = now;
		}

		private double updateDemand(long now) {
			double seconds = Math.max(1, now - this.demandAt) / 1000.0;
			this.demand += DEMAND_SMOOTHING * (this.checks / seconds - this.demand);
			this.checks = 0;
			this.demandAt = now;
			return this.demand;
		}

		private long timeToNextTokenMs() {
			return Math.max(1, Math.round(1000 * (1 - this.tokens) / Math.max(0.001, this.rate)));
		}

		private boolean expireLease(long now) {
			boolean leaseExpired = this.hasLease && now >= this.leaseExpiresAt;
			this.hasLease = this.hasLease && !leaseExpired;
			return leaseExpired;
		}

	}

}
