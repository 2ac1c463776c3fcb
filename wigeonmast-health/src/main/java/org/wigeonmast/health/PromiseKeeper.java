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
import org.wigeonmast.health.internal.ServiceViews;

/**
 * Promises of ejection permits by one daemon; each daemon runs one instance for all
 * services.
 * <p>
 * Wiring: it accepts {@link HealthInput.Received} with promise requests and releases,
 * {@link HealthInput.PlanChanged} for every service of the manifest and
 * {@link HealthInput.AvailabilityChanged}; it returns {@link HealthEffect.Send}.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: a permit is promised to
 * at most one backend server at a time; no permit is promised for
 * {@link LeaseTiming#PROMISE_MS} after a start or a pause, because promises from before a
 * restart are lost but may still be in use.
 */
public final class PromiseKeeper implements Component<HealthInput, HealthEffect> {

	private static final long PERIOD = 500;

	private final FailureDomain domain;

	private final ServiceViews views = new ServiceViews();

	private final Map<Permit, Promise> promises = new HashMap<>();

	private long silentUntil;

	private long lastSeen;

	/**
	 * Creates an instance without promises.
	 * @param domain the failure domain of this daemon
	 * @param startedAt the monotonic time in milliseconds at which the process started
	 */
	public PromiseKeeper(FailureDomain domain, long startedAt) {
		this.domain = domain;
		this.lastSeen = startedAt;
		this.silentUntil = startedAt + LeaseTiming.PROMISE_MS;
	}

	@Override
	public List<HealthEffect> handle(long now, HealthInput input) {
		noticePause(now);
		switch (input) {
			case HealthInput.Received(DaemonId sender, HealthMessage.PromiseRequest request) -> {
				return List.of(new HealthEffect.Send(sender, reply(now, sender, request)));
			}
			case HealthInput.Received(DaemonId sender, HealthMessage.PromiseRelease release) ->
				release(now, sender, release);
			default -> this.views.handle(input);
		}
		return List.of();
	}

	@Override
	public List<HealthEffect> tick(long now) {
		noticePause(now);
		this.promises.values().removeIf((promise) -> promise.expired(now));
		return List.of();
	}

	@Override
	public long nextTick() {
		return this.lastSeen + PERIOD;
	}

	private void noticePause(long now) {
		if (now - this.lastSeen > PERIOD + LeaseTiming.PAUSE_THRESHOLD_MS) {
			this.silentUntil = now + LeaseTiming.PROMISE_MS;
		}
		this.lastSeen = now;
	}

	private HealthMessage reply(long now, DaemonId sender, HealthMessage.PromiseRequest request) {
		Permit permit = new Permit(request.service(), request.permit());
		Promise promise = this.promises.get(permit);
		if (promise != null && promise.expired(now)) {
			this.promises.remove(permit);
			promise = null;
		}
		Refusal refusal = refusal(now, request, promise);
		if (refusal == Refusal.NONE) {
			if (promise == null) {
				promise = new Promise(request.server());
				this.promises.put(permit, promise);
			}
			promise.give(sender, request.sequence(), now + LeaseTiming.PROMISE_MS);
		}
		return new HealthMessage.PromiseReply(request.service(), request.permit(), request.server(), request.sequence(),
				refusal, (promise != null) ? promise.server : null);
	}

	private Refusal refusal(long now, HealthMessage.PromiseRequest request, @Nullable Promise promise) {
		ServicePlan plan = this.views.plan(request.service());
		if (plan == null || request.permit() < 0 || request.permit() >= plan.permits()
				|| !plan.domain(request.permit()).name().equals(this.domain)) {
			return Refusal.UNKNOWN_PERMIT;
		}
		if (now < this.silentUntil) {
			return Refusal.WAITING;
		}
		if (promise != null && !promise.server.equals(request.server())) {
			return Refusal.HELD;
		}
		// Each server that is out of service for another reason makes one permit
		// unusable.
		int usable = plan.permits() - this.views.unavailableCount(plan);
		return (request.permit() < usable) ? Refusal.NONE : Refusal.FLOOR;
	}

	private void release(long now, DaemonId sender, HealthMessage.PromiseRelease release) {
		Permit permit = new Permit(release.service(), release.permit());
		Promise promise = this.promises.get(permit);
		if (promise != null && promise.server.equals(release.server())) {
			promise.release(sender, release.sequence());
			if (promise.expired(now)) {
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

		private final Map<DaemonId, Use> uses = new HashMap<>();

		private Promise(BackendServerId server) {
			this.server = server;
		}

		private void give(DaemonId owner, long sequence, long until) {
			Use earlier = this.uses.get(owner);
			long latest = (earlier != null) ? Math.max(earlier.sequence, sequence) : sequence;
			this.uses.put(owner, new Use(latest, until));
		}

		private void release(DaemonId owner, long sequence) {
			// A release that arrives after a later request has no effect.
			Use use = this.uses.get(owner);
			if (use != null && use.sequence < sequence) {
				this.uses.remove(owner);
			}
		}

		/** Removes the expired leases and returns whether none is left. */
		private boolean expired(long now) {
			this.uses.values().removeIf((use) -> use.until <= now);
			return this.uses.isEmpty();
		}

	}

	/** The lease of one owner that relies on a promise. */
	private record Use(long sequence, long until) {
	}

}
