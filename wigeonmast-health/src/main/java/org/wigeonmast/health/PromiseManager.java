package org.wigeonmast.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.HealthMessage.Refusal;
import org.wigeonmast.health.internal.ServiceDirectory;

/**
 * Promises of ejection permits by one daemon; each daemon runs one instance for all
 * services.
 * <p>
 * Wiring: it accepts {@link HealthInput.MessageReceived} with promise requests and
 * releases, {@link HealthInput.PlanChanged} for every service of the manifest and
 * {@link HealthInput.AvailabilityChanged}; it returns {@link HealthEffect.Send}.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: a permit is promised to
 * at most one backend server at a time; no permit is promised for
 * {@link LeaseTiming#PROMISE_MS} after a start or a pause, because promises from before a
 * restart are lost but may still be in use.
 */
public final class PromiseManager implements Component<HealthInput, HealthEffect> {

	private static final long TICK_INTERVAL_MS = 500;

	private final FailureDomain domain;

	private final ServiceDirectory services = new ServiceDirectory();

	private final Map<Permit, Promise> promises = new HashMap<>();

	private long refusesUntil;

	private long lastCallAt;

	/**
	 * Creates an instance without promises.
	 * @param domain the failure domain of this daemon
	 * @param startedAt the monotonic time in milliseconds at which the process started
	 */
	public PromiseManager(FailureDomain domain, long startedAt) {
		this.domain = domain;
		this.lastCallAt = startedAt;
		this.refusesUntil = startedAt + LeaseTiming.PROMISE_MS;
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		detectPause(now);
		switch (input) {
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.PromiseRequest request) -> {
				return List.of(new HealthEffect.Send(sender, createReply(now, sender, request)));
			}
			case HealthInput.MessageReceived(DaemonId sender, HealthMessage.PromiseRelease release) ->
				release(now, sender, release);
			default -> this.services.handle(input);
		}
		return List.of();
	}

	@Override
	public List<HealthEffect> tick(long now) {
		detectPause(now);
		this.promises.values().removeIf((promise) -> promise.isExpired(now));
		return List.of();
	}

	@Override
	public long nextTick() {
		return this.lastCallAt + TICK_INTERVAL_MS;
	}

	private void detectPause(long now) {
		if (now - this.lastCallAt > TICK_INTERVAL_MS + LeaseTiming.PAUSE_THRESHOLD_MS) {
			this.refusesUntil = now + LeaseTiming.PROMISE_MS;
		}
		this.lastCallAt = now;
	}

	private HealthMessage createReply(long now, DaemonId sender, HealthMessage.PromiseRequest request) {
		Permit permit = new Permit(request.service(), request.permit());
		Promise promise = this.promises.get(permit);
		if (promise != null && promise.isExpired(now)) {
			this.promises.remove(permit);
			promise = null;
		}
		Refusal refusal = refusal(now, request, promise);
		if (refusal == Refusal.NONE) {
			if (promise == null) {
				promise = new Promise(request.server());
				this.promises.put(permit, promise);
			}
			promise.extend(sender, request.sequence(), now + LeaseTiming.PROMISE_MS);
		}
		return new HealthMessage.PromiseReply(request.service(), request.permit(), request.server(), request.sequence(),
				refusal, (promise != null) ? promise.server : null);
	}

	private Refusal refusal(long now, HealthMessage.PromiseRequest request, @Nullable Promise promise) {
		ServicePlan plan = this.services.plan(request.service());
		if (plan == null || request.permit() < 0 || request.permit() >= plan.permitCount()
				|| !plan.permitDomain(request.permit()).name().equals(this.domain)) {
			return Refusal.UNKNOWN_PERMIT;
		}
		if (now < this.refusesUntil) {
			return Refusal.WAITING;
		}
		if (promise != null && !promise.server.equals(request.server())) {
			return Refusal.HELD;
		}
		// Each server out of service for another reason makes one permit
		// unusable.
		int usable = plan.permitCount() - this.services.unavailableCount(plan);
		return (request.permit() < usable) ? Refusal.NONE : Refusal.FLOOR;
	}

	private void release(long now, DaemonId sender, HealthMessage.PromiseRelease release) {
		Permit permit = new Permit(release.service(), release.permit());
		Promise promise = this.promises.get(permit);
		if (promise != null && promise.server.equals(release.server())) {
			promise.release(sender, release.sequence());
			if (promise.isExpired(now)) {
				this.promises.remove(permit);
			}
		}
	}

	private record Permit(ServiceName service, int number) {
	}

	/**
	 * The promise of one permit to one backend server, on which several owners may rely.
	 */
	private static final class Promise {

		private final BackendServerId server;

		private final Map<DaemonId, OwnerLease> leases = new HashMap<>();

		private Promise(BackendServerId server) {
			this.server = server;
		}

		private void extend(DaemonId owner, long sequence, long expiresAt) {
			OwnerLease earlier = this.leases.get(owner);
			long latestSequence = (earlier != null) ? Math.max(earlier.sequence, sequence) : sequence;
			this.leases.put(owner, new OwnerLease(latestSequence, expiresAt));
		}

		private void release(DaemonId owner, long sequence) {
			// A release that arrives after a later request has no effect.
			OwnerLease lease = this.leases.get(owner);
			if (lease != null && lease.sequence < sequence) {
				this.leases.remove(owner);
			}
		}

		/**
		 * Removes the expired leases and returns whether none is left.
		 * @param now the current monotonic time in milliseconds
		 * @return {@code true} if no owner relies on the promise any more
		 */
		private boolean isExpired(long now) {
			this.leases.values().removeIf((lease) -> lease.expiresAt <= now);
			return this.leases.isEmpty();
		}

	}

	/** The lease of one owner that relies on a promise. */
	private record OwnerLease(long sequence, long expiresAt) {
	}

}
