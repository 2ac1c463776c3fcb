package org.wigeonmast.limit;

import java.util.HashMap;
import java.util.Map;

import org.wigeonmast.core.DaemonId;

/**
 * Shares one limit out as its owner.
 * <p>
 * Thread safety: none. Invariant: the shares in force that this owner gave never add up
 * to more than the limit. For one lease after its start an owner gives equal shares only,
 * because shares of its predecessor may still be in force.
 */
final class ShareOwner {

	/** Lease of a share in milliseconds. */
	static final long LEASE = 1000;

	/**
	 * The part of the limit that is divided equally, so that new demand finds a share.
	 */
	private static final double EQUAL_PART = 0.1;

	private final Map<DaemonId, Share> shares = new HashMap<>();

	private final long startedAt;

	ShareOwner(long now) {
		this.startedAt = now;
	}

	/**
	 * Gives a share.
	 * @param now the monotonic time in milliseconds
	 * @param daemon the daemon that asks
	 * @param demand its demand in requests per second
	 * @param limit the limit in requests per second
	 * @param daemons the number of live daemons
	 * @return the share in requests per second
	 */
	double share(long now, DaemonId daemon, double demand, double limit, int daemons) {
		this.shares.values().removeIf((share) -> share.until <= now);
		double equal = limit / Math.max(1, daemons);
		double fair = (now - this.startedAt < LEASE) ? equal : fair(daemon, demand, limit, equal);
		double others = 0;
		for (Map.Entry<DaemonId, Share> entry : this.shares.entrySet()) {
			others += entry.getKey().equals(daemon) ? 0 : entry.getValue().rate;
		}
		double rate = Math.max(0, Math.min(fair, limit - others));
		this.shares.put(daemon, new Share(demand, rate, now + LEASE));
		return rate;
	}

	boolean idle(long now) {
		return this.shares.values().stream().allMatch((share) -> share.until <= now);
	}

	// Shares follow the demand; while it is below the limit each gets some headroom.
	private double fair(DaemonId daemon, double demand, double limit, double equal) {
		double total = demand;
		for (Map.Entry<DaemonId, Share> entry : this.shares.entrySet()) {
			total += entry.getKey().equals(daemon) ? 0 : entry.getValue().demand;
		}
		double proportional = (total > 0) ? limit * demand / total : equal;
		return EQUAL_PART * equal + (1 - EQUAL_PART) * proportional;
	}

	private record Share(double demand, double rate, long until) {
	}

}
