package org.wigeonmast.health.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.health.HealthMessage.Refusal;
import org.wigeonmast.health.Leases;
import org.wigeonmast.health.ServicePlan;

/**
 * The promises of one permit for one server, as the owner counts them.
 * <p>
 * Thread safety: none. Invariants: each promise counts from the time its request was
 * sent; a daemon counts once, whatever its incarnations.
 */
public final class PermitAttempt {

	private final int permit;

	private final ServicePlan.Domain domain;

	private final int majority;

	/** Times of the requests by their numbers. */
	private final Map<Long, Long> sent = new HashMap<>();

	/** Ends of the promises by the name of the daemon. */
	private final Map<String, Long> promises = new HashMap<>();

	private final Map<String, Refusal> refusals = new TreeMap<>();

	private final Set<DaemonId> asked = new LinkedHashSet<>();

	private long sentAt;

	private long newest;

	/**
	 * Creates an attempt without promises.
	 * @param permit the permit
	 * @param domain the failure domain whose daemons promise it
	 */
	public PermitAttempt(int permit, ServicePlan.Domain domain) {
		this.permit = permit;
		this.domain = domain;
		this.majority = domain.majority();
	}

	/**
	 * Returns the permit.
	 * @return the number of the permit
	 */
	public int permit() {
		return this.permit;
	}

	/**
	 * Returns the failure domain whose daemons promise it.
	 * @return the domain as it was in the manifest at the start of the attempt
	 */
	public ServicePlan.Domain domain() {
		return this.domain;
	}

	/**
	 * Returns when the latest requests were sent.
	 * @return the time
	 */
	public long sentAt() {
		return this.sentAt;
	}

	/**
	 * Returns the daemons that were asked.
	 * @return the daemons
	 */
	public Set<DaemonId> asked() {
		return this.asked;
	}

	/**
	 * Records requests.
	 * @param now the time
	 * @param sequence their number
	 * @param voters the daemons that are asked
	 */
	public void ask(long now, long sequence, List<DaemonId> voters) {
		this.sent.values().removeIf((time) -> time < now - Leases.LEASE);
		this.sent.put(sequence, now);
		this.sentAt = now;
		this.newest = sequence;
		this.asked.addAll(voters);
		this.refusals.clear();
	}

	/**
	 * Records a reply.
	 * @param voter the daemon
	 * @param sequence the number of the request
	 * @param refusal the reason for a refusal
	 */
	public void reply(DaemonId voter, long sequence, Refusal refusal) {
		Long time = this.sent.get(sequence);
		if (time == null || !this.asked.contains(voter)) {
			return;
		}
		if (refusal == Refusal.NONE) {
			this.promises.merge(voter.name(), time + Leases.LEASE, Math::max);
		}
		else if (sequence == this.newest) {
			this.refusals.put(voter.name(), refusal);
		}
	}

	/**
	 * Returns until when the permit is held.
	 * @return the time, long ago if it never was
	 */
	public long heldUntil() {
		if (this.promises.size() < this.majority) {
			return Long.MIN_VALUE;
		}
		List<Long> ends = new ArrayList<>(this.promises.values());
		ends.sort(null);
		return ends.get(ends.size() - this.majority);
	}

	/**
	 * Returns whether too many daemons refused.
	 * @return whether the others are no majority
	 */
	public boolean hopeless() {
		return this.asked.size() - this.refusals.size() < this.majority;
	}

	/**
	 * Returns why the permit is not held.
	 * @return the number of promises and refusals in one line
	 */
	public String reasons() {
		Map<Refusal, Long> counts = this.refusals.values()
			.stream()
			.collect(Collectors.groupingBy((refusal) -> refusal, TreeMap::new, Collectors.counting()));
		return this.promises.size() + " promises of " + this.majority + " needed"
				+ (counts.isEmpty() ? "" : ", refusals " + counts);
	}

}
