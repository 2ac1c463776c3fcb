package org.wigeonmast.health;

/**
 * The times in milliseconds on which the safety of ejection permits rests.
 * <p>
 * An owner counts {@link #LEASE} from the time it sent the request, and an entry daemon
 * counts the rest of it from the time it asked; a daemon keeps its promise for
 * {@link #PROMISE} from the time it answered. The promise therefore outlasts every use of
 * it as long as each monotonic clock is at most 1 % fast or slow: 3,000 ms on a clock
 * that is 1 % slow are 3,031 ms, 3,100 ms on one that is 1 % fast are 3,069 ms, and the
 * rest covers the rounding to milliseconds.
 * <p>
 * Thread safety: stateless.
 */
public final class Leases {

	/** The lease of a promise as the owner counts it. */
	public static final long LEASE = 3_000;

	/**
	 * The lease of a promise as the daemon that gave it counts it, and the time for which
	 * a daemon gives none after a start or a pause.
	 */
	public static final long PROMISE = 3_100;

	/** The time between two requests for the same promise or the same advice. */
	public static final long RENEWAL = 1_000;

	/** A process whose timer is late by more than this has paused. */
	public static final long PAUSE = 2_000;

	private Leases() {
	}

}
