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
import org.wigeonmast.health.LeaseTiming;
import org.wigeonmast.health.ServicePlan;

/**
 * An attempt of an owner to obtain and hold one permit for one server.
 * <p>
 * Thread safety: none. Invariants: each promise counts from the time its request was
 * sent; the incarnations of a daemon count as one daemon.
 */
public final class PermitAttempt {

	private final int permit;

	private final ServicePlan.Domain domain;

	private final int majority;

	/** Times in milliseconds at which requests were sent, by sequence number. */
	private final Map<Long, Long> requestTimes = new HashMap<>();

	/** Times in milliseconds at which promises expire, by the name of the daemon. */
	private final Map<String, Long> promiseExpiries = new HashMap<>();

	private final Map<String, Refusal> refusals = new TreeMap<>();

	private final Set<DaemonId> contactedDaemons = new LinkedHashSet<>();

	private long lastSentAt;

	private long latestSequence;

	/**
	 * Creates an attempt without promises.
	 * @param permit the permit
	 * @param domain the failure domain whose daemons promise the permit
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
	 * Returns the failure domain whose daemons promise the permit.
	 * @return the domain as it was in the manifest at the start of the attempt
	 */
	public ServicePlan.Domain domain() {
		return this.domain;
	}

	/**
	 * Returns the time at which the latest requests were sent.
	 * @return the monotonic time in milliseconds
	 */
	public long lastSentAt() {
		return this.lastSentAt;
	}

	/**
	 * Returns the daemons to which requests were sent.
	 * @return the daemons in the order of their first request
	 */
	public Set<DaemonId> contactedDaemons() {
		return this.contactedDaemons;
	}

	/**
	 * Records that requests are sent.
	 * @param now the current monotonic time in milliseconds
	 * @param sequence the sequence number of the requests
	 * @param voters the daemons to which they are sent
	 */
	public void recordRequests(long now, long sequence, List<DaemonId> voters) {
		this.requestTimes.values().removeIf((time) -> time < now - LeaseTiming.LEASE_MS);
		this.requestTimes.put(sequence, now);
		this.lastSentAt = now;
		this.latestSequence = sequence;
		this.contactedDaemons.addAll(voters);
		this.refusals.clear();
	}

	/**
	 * Records a reply; replies to unknown requests are ignored.
	 * @param voter the daemon that replied
	 * @param sequence the sequence number of the request
	 * @param refusal the reason for a refusal, or {@link Refusal#NONE} for a promise
	 */
	public void recordReply(DaemonId voter, long sequence, Refusal refusal) {
		Long requestTime = this.requestTimes.get(sequence);
		if (requestTime == null || !this.contactedDaemons.contains(voter)) {
			return;
		}
		if (refusal == Refusal.NONE) {
			this.promiseExpiries.merge(voter.name(), requestTime + LeaseTiming.LEASE_MS, Math::max);
		}
		else if (sequence == this.latestSequence) {
			this.refusals.put(voter.name(), refusal);
		}
	}

	/**
	 * Returns the time until which the permit is held.
	 * @return the monotonic time in milliseconds, {@link Long#MIN_VALUE} if promises of a
	 * majority are missing
	 */
	public long heldUntil() {
		if (this.promiseExpiries.size() < this.majority) {
			return Long.MIN_VALUE;
		}
		List<Long> expiries = new ArrayList<>(this.promiseExpiries.values());
		expiries.sort(null);
		return expiries.get(expiries.size() - this.majority);
	}

	/**
	 * Returns whether too many daemons refused the latest request.
	 * @return {@code true} if the other daemons are fewer than a majority
	 */
	public boolean isUnattainable() {
		return this.contactedDaemons.size() - this.refusals.size() < this.majority;
	}

	/**
	 * Describes the replies so far, as the reason why the permit is not held.
	 * @return the number of promises and the refusals, in one line
	 */
	public String describeReplies() {
		Map<Refusal, Long> counts = this.refusals.values()
			.stream()
			.collect(Collectors.groupingBy((refusal) -> refusal, TreeMap::new, Collectors.counting()));
		return this.promiseExpiries.size() + " promises of " + this.majority + " needed"
				+ (counts.isEmpty() ? "" : ", refusals " + counts);
	}

}
