package org.wigeonmast.limit;

import java.util.HashMap;
import java.util.Map;

import org.wigeonmast.core.DaemonId;

/**
 * Allocator of one limit's shares, on the daemon that owns the limit.
 * <p>
 * Thread safety: none. All times are monotonic and in milliseconds. Invariant: the
 * unexpired shares that this owner granted never add up to more than the limit. For one
 * lease after its start an owner grants equal shares only, because shares that the
 * previous owner granted may still be valid.
 */
final class ShareOwner {

	/** Validity of a share in milliseconds. */
	static final long LEASE = 1000;

	/**
	 * Fraction of the limit that is divided equally, so that new demand gets a share at
	 * once.
	 */
	private static final double EQUAL_PART = 0.1;

	private final Map<DaemonId, Share> shares = new HashMap<>();

	private final long startedAt;

	ShareOwner(long now) {
		this.startedAt = now;
	}

	/**
	 * Grants a share to a daemon.
	 * @param now the current monotonic time in milliseconds
	 * @param daemon the requesting daemon
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

	// Shares follow the demand, which leaves headroom while the total demand is below the
	// limit.
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
