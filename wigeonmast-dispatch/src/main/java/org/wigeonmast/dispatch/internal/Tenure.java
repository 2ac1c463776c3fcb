package org.wigeonmast.dispatch.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage.TenureRelease;
import org.wigeonmast.dispatch.DispatchMessage.TenureReply;
import org.wigeonmast.dispatch.DispatchMessage.TenureRequest;

/**
 * The exclusive right of a daemon to register the idempotency keys of a service in its
 * region, obtained by leases from a majority.
 * <p>
 * Thread safety: none. Invariants: tenure is in force only while more than half of the
 * daemons that the manifest declares for the region promised it, so two daemons never
 * have it at once; leases are counted from the time of the request, so they end here
 * before they end at the daemons that gave them. A tenure continues an earlier one only
 * if more than half of the daemons state that no promise to a third daemon was in force
 * since, which excludes that another daemon had tenure in between.
 */
public final class Tenure {

	/** The duration of a promise in milliseconds. */
	public static final long LEASE_MS = 3000;

	/** Value of {@link #keptSinceMs()} before the first tenure. */
	public static final long NEVER = Long.MAX_VALUE;

	private static final long RENEWAL_INTERVAL_MS = 1000;

	/** Time in milliseconds between requests while the tenure is not in force. */
	private static final long ACQUISITION_INTERVAL_MS = 100;

	private final ServiceName service;

	private final DaemonId self;

	private final Map<DaemonId, Long> promiseEndsMs = new HashMap<>();

	private final Set<DaemonId> continuityConfirmations = new HashSet<>();

	private @Nullable DaemonId predecessor;

	private long predecessorKeptSinceMs;

	/**
	 * The last monotonic time in milliseconds at which this daemon or its predecessor is
	 * known to have had tenure.
	 */
	private long lastInForceMs;

	private long keptSinceMs = NEVER;

	private boolean inForce;

	private boolean requesting;

	private long round;

	private long requestedAtMs;

	private long nextRequestMs = Long.MAX_VALUE;

	private int declaredDaemons = Integer.MAX_VALUE;

	private List<DaemonId> liveDaemons = List.of();

	/**
	 * Creates a tenure that is not in force and not requested.
	 * @param service the service
	 * @param self this daemon
	 */
	public Tenure(ServiceName service, DaemonId self) {
		this.service = service;
		this.self = self;
	}

	/**
	 * Sets the daemons whose promises are requested.
	 * @param live the live daemons of the region, including this one
	 * @param maxDaemons the maximum number of daemons in the region, of which a majority
	 * is needed
	 */
	public void setDaemons(Collection<DaemonId> live, int maxDaemons) {
		this.liveDaemons = List.copyOf(live);
		this.declaredDaemons = Math.max(maxDaemons, 1);
	}

	/**
	 * Starts to request promises, if it has not started yet.
	 * @param now the current monotonic time in milliseconds
	 * @param effects receives the requests
	 */
	public void startRequesting(long now, EffectBuffer effects) {
		if (!this.requesting) {
			this.requesting = true;
			sendRequests(now, effects);
		}
	}

	/**
	 * Releases the promises before their leases end.
	 * @param effects receives the messages
	 */
	public void releasePromises(EffectBuffer effects) {
		this.liveDaemons.forEach((daemon) -> effects.send(daemon, new TenureRelease(this.service)));
	}

	/** Ends the tenure and stops requesting promises. */
	public void relinquish() {
		this.requesting = false;
		this.inForce = false;
		this.keptSinceMs = NEVER;
		this.promiseEndsMs.clear();
		this.nextRequestMs = Long.MAX_VALUE;
	}

	/**
	 * Records that an earlier daemon handed its whole register over and that its tenure
	 * was still in force after the given time, so that the next tenure can continue it.
	 * @param previous the earlier daemon
	 * @param completeSinceMs the monotonic time in milliseconds since which its register
	 * is complete
	 * @param inForceAtMs a monotonic time in milliseconds at which the earlier tenure was
	 * in force
	 */
	public void continueFrom(DaemonId previous, long completeSinceMs, long inForceAtMs) {
		if (!this.inForce) {
			this.predecessor = previous;
			this.predecessorKeptSinceMs = completeSinceMs;
			this.lastInForceMs = inForceAtMs;
			this.keptSinceMs = NEVER;
			this.continuityConfirmations.clear();
			this.nextRequestMs = this.requesting ? inForceAtMs : Long.MAX_VALUE;
		}
	}

	/**
	 * Handles a reply to a request.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that replies
	 * @param reply the reply
	 */
	public void handleReply(long now, DaemonId sender, TenureReply reply) {
		boolean wasInForce = isInForce(now);
		if (!this.requesting || reply.round() != this.round || !reply.promised()) {
			return;
		}
		this.promiseEndsMs.put(sender, this.requestedAtMs + LEASE_MS);
		if (!wasInForce) {
			if (now - reply.exclusiveFor() <= this.lastInForceMs) {
				this.continuityConfirmations.add(sender);
			}
			else {
				this.continuityConfirmations.remove(sender);
			}
			if (hasMajority(now)) {
				begin(now);
			}
		}
	}

	/**
	 * Returns whether the tenure is in force.
	 * @param now the current monotonic time in milliseconds
	 * @return whether a majority of the promises is still valid
	 */
	public boolean isInForce(long now) {
		if (this.inForce && !hasMajority(now)) {
			this.inForce = false;
			this.continuityConfirmations.clear();
			this.lastInForceMs = majorityEndMs();
		}
		return this.inForce;
	}

	/**
	 * Returns the time since which the register is complete, including earlier tenures
	 * that this one continues.
	 * @return the monotonic time in milliseconds, {@link #NEVER} before the first tenure
	 */
	public long keptSinceMs() {
		return this.keptSinceMs;
	}

	/**
	 * After keys were dropped, sets a later start of the period for which all keys are
	 * known.
	 * @param sinceMs the monotonic time in milliseconds since which the register is
	 * complete
	 */
	public void limitKeptSince(long sinceMs) {
		this.keptSinceMs = Math.max(this.keptSinceMs, sinceMs);
		this.predecessorKeptSinceMs = Math.max(this.predecessorKeptSinceMs, sinceMs);
	}

	/**
	 * Requests the promises again if that is due.
	 * @param now the current monotonic time in milliseconds
	 * @param effects receives the requests
	 */
	public void tick(long now, EffectBuffer effects) {
		if (this.requesting && now >= this.nextRequestMs) {
			sendRequests(now, effects);
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return this.nextRequestMs;
	}

	private void sendRequests(long now, EffectBuffer effects) {
		boolean wasInForce = isInForce(now);
		this.round++;
		this.requestedAtMs = now;
		this.nextRequestMs = now + (wasInForce ? RENEWAL_INTERVAL_MS : ACQUISITION_INTERVAL_MS);
		this.liveDaemons
			.forEach((daemon) -> effects.send(daemon, new TenureRequest(this.service, this.round, this.predecessor)));
	}

	private boolean hasMajority(long now) {
		long count = this.promiseEndsMs.values().stream().filter((endMs) -> endMs > now).count();
		return count * 2 > this.declaredDaemons;
	}

	private long majorityEndMs() {
		List<Long> endsMs = this.promiseEndsMs.values().stream().sorted(Comparator.reverseOrder()).toList();
		int needed = this.declaredDaemons / 2;
		return (needed < endsMs.size()) ? endsMs.get(needed) : 0;
	}

	private void begin(long now) {
		long confirmed = this.continuityConfirmations.stream()
			.filter((daemon) -> this.promiseEndsMs.getOrDefault(daemon, 0L) > now)
			.count();
		boolean continuous = confirmed * 2 > this.declaredDaemons;
		if (!continuous) {
			this.keptSinceMs = now;
		}
		else if (this.keptSinceMs == NEVER) {
			this.keptSinceMs = (this.predecessor != null) ? this.predecessorKeptSinceMs : now;
		}
		this.predecessor = null;
		this.inForce = true;
	}

}
