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
	public static final long LEASE = 3000;

	/** Value of {@link #keptSince()} before the first tenure. */
	public static final long NEVER = Long.MAX_VALUE;

	private static final long RENEWAL = 1000;

	/** Time in milliseconds between requests while the tenure is not in force. */
	private static final long FIRST_RENEWAL = 100;

	private final ServiceName service;

	private final DaemonId self;

	private final Map<DaemonId, Long> promises = new HashMap<>();

	private final Set<DaemonId> continuing = new HashSet<>();

	private @Nullable DaemonId predecessor;

	private long predecessorSince;

	/**
	 * The last monotonic time in milliseconds at which this daemon or its predecessor is
	 * known to have had tenure.
	 */
	private long lastKept;

	private long keptSince = NEVER;

	private boolean inForce;

	private boolean wanted;

	private long round;

	private long askedAt;

	private long nextRequest = Long.MAX_VALUE;

	private int declared = Integer.MAX_VALUE;

	private List<DaemonId> daemons = List.of();

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
	 * @param number the maximum number of daemons in the region, of which a majority is
	 * needed
	 */
	public void setDaemons(Collection<DaemonId> live, int number) {
		this.daemons = List.copyOf(live);
		this.declared = Math.max(number, 1);
	}

	/**
	 * Starts to request promises, if it has not started yet.
	 * @param now the current monotonic time in milliseconds
	 * @param effects receives the requests
	 */
	public void want(long now, EffectBuffer effects) {
		if (!this.wanted) {
			this.wanted = true;
			request(now, effects);
		}
	}

	/**
	 * Releases the promises before their leases end.
	 * @param effects receives the messages
	 */
	public void release(EffectBuffer effects) {
		this.daemons.forEach((daemon) -> effects.send(daemon, new TenureRelease(this.service)));
	}

	/** Ends the tenure and stops requesting promises. */
	public void giveUp() {
		this.wanted = false;
		this.inForce = false;
		this.keptSince = NEVER;
		this.promises.clear();
		this.nextRequest = Long.MAX_VALUE;
	}

	/**
	 * Records that an earlier daemon handed its whole register over and that its tenure
	 * was still in force after the given time, so that the next tenure can continue it.
	 * @param keeper the earlier daemon
	 * @param since the monotonic time in milliseconds since which its register is
	 * complete
	 * @param lastKeptAt a monotonic time in milliseconds at which the earlier tenure was
	 * in force
	 */
	public void continues(DaemonId keeper, long since, long lastKeptAt) {
		if (!this.inForce) {
			this.predecessor = keeper;
			this.predecessorSince = since;
			this.lastKept = lastKeptAt;
			this.keptSince = NEVER;
			this.continuing.clear();
			this.nextRequest = this.wanted ? lastKeptAt : Long.MAX_VALUE;
		}
	}

	/**
	 * Handles a reply to a request.
	 * @param now the current monotonic time in milliseconds
	 * @param sender the daemon that replies
	 * @param reply the reply
	 */
	public void replied(long now, DaemonId sender, TenureReply reply) {
		boolean held = inForce(now);
		if (!this.wanted || reply.round() != this.round || !reply.promised()) {
			return;
		}
		this.promises.put(sender, this.askedAt + LEASE);
		if (!held) {
			if (now - reply.exclusiveFor() <= this.lastKept) {
				this.continuing.add(sender);
			}
			else {
				this.continuing.remove(sender);
			}
			if (majority(now)) {
				begin(now);
			}
		}
	}

	/**
	 * Returns whether the tenure is in force.
	 * @param now the current monotonic time in milliseconds
	 * @return whether a majority of the promises is still valid
	 */
	public boolean inForce(long now) {
		if (this.inForce && !majority(now)) {
			this.inForce = false;
			this.continuing.clear();
			this.lastKept = majorityEnd();
		}
		return this.inForce;
	}

	/**
	 * Returns the time since which the register is complete, including earlier tenures
	 * that this one continues.
	 * @return the monotonic time in milliseconds, {@link #NEVER} before the first tenure
	 */
	public long keptSince() {
		return this.keptSince;
	}

	/**
	 * Moves the start of the complete period forward after keys were dropped.
	 * @param since the monotonic time in milliseconds since which the register is
	 * complete
	 */
	public void keptOnlySince(long since) {
		this.keptSince = Math.max(this.keptSince, since);
		this.predecessorSince = Math.max(this.predecessorSince, since);
	}

	/**
	 * Requests the promises again if that is due.
	 * @param now the current monotonic time in milliseconds
	 * @param effects receives the requests
	 */
	public void tick(long now, EffectBuffer effects) {
		if (this.wanted && now >= this.nextRequest) {
			request(now, effects);
		}
	}

	/**
	 * Returns when {@link #tick} is due next.
	 * @return the monotonic time in milliseconds
	 */
	public long nextTick() {
		return this.nextRequest;
	}

	private void request(long now, EffectBuffer effects) {
		boolean held = inForce(now);
		this.round++;
		this.askedAt = now;
		this.nextRequest = now + (held ? RENEWAL : FIRST_RENEWAL);
		this.daemons
			.forEach((daemon) -> effects.send(daemon, new TenureRequest(this.service, this.round, this.predecessor)));
	}

	private boolean majority(long now) {
		long count = this.promises.values().stream().filter((until) -> until > now).count();
		return count * 2 > this.declared;
	}

	private long majorityEnd() {
		List<Long> ends = this.promises.values().stream().sorted(Comparator.reverseOrder()).toList();
		int needed = this.declared / 2;
		return (needed < ends.size()) ? ends.get(needed) : 0;
	}

	private void begin(long now) {
		long unbroken = this.continuing.stream()
			.filter((daemon) -> this.promises.getOrDefault(daemon, 0L) > now)
			.count();
		boolean continuous = unbroken * 2 > this.declared;
		if (!continuous) {
			this.keptSince = now;
		}
		else if (this.keptSince == NEVER) {
			this.keptSince = (this.predecessor != null) ? this.predecessorSince : now;
		}
		this.predecessor = null;
		this.inForce = true;
	}

}
