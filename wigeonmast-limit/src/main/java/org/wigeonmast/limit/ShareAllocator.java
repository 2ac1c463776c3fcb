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
final class ShareAllocator {

	/** Validity of a share in milliseconds. */
	static final long LEASE_MS = 1000;

	/**
	 * Fraction of the limit that is divided equally, so that new demand gets a share at
	 * once.
	 */
	private static final double EQUAL_FRACTION = 0.1;

	private final Map<DaemonId, Share> shares = new HashMap<>();

	private final long startedAt;

	ShareAllocator(long now) {
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
	double grantShare(long now, DaemonId daemon, double demand, double limit, int daemons) {
		this.shares.values().removeIf((share) -> share.expiresAt <= now);
		double equalShare = limit / Math.max(1, daemons);
		double targetRate = (now - this.startedAt < LEASE_MS) ? equalShare
				: fairShare(daemon, demand, limit, equalShare);
		double otherRates = 0;
		for (Map.Entry<DaemonId, Share> entry : this.shares.entrySet()) {
			otherRates += entry.getKey().equals(daemon) ? 0 : entry.getValue().rate;
		}
		double rate = Math.max(0, Math.min(targetRate, limit - otherRates));
		this.shares.put(daemon, new Share(demand, rate, now + LEASE_MS));
		return rate;
	}

	boolean isIdle(long now) {
		return this.shares.values().stream().allMatch((share) -> share.expiresAt <= now);
	}

	// Shares follow the demand, which leaves headroom while the total demand is below the
	// limit.
	private double fairShare(DaemonId daemon, double demand, double limit, double equalShare) {
		double totalDemand = demand;
		for (Map.Entry<DaemonId, Share> entry : this.shares.entrySet()) {
			totalDemand += entry.getKey().equals(daemon) ? 0 : entry.getValue().demand;
		}
		double proportionalShare = (totalDemand > 0) ? limit * demand / totalDemand : equalShare;
		return EQUAL_FRACTION * equalShare + (1 - EQUAL_FRACTION) * proportionalShare;
	}

	private record Share(double demand, double rate, long expiresAt) {
	}

}
