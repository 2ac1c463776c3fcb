package org.wigeonmast.health;

/**
 * The durations on which the safety of ejection permits depends.
 * <p>
 * An owner counts {@link #LEASE_MS} from the time at which it sent the request, an entry
 * daemon counts the remaining time from the time at which it sent the query, and a daemon
 * keeps its promise for {@link #PROMISE_MS} from the time at which it replied. The
 * promise therefore outlasts every use of it as long as each monotonic clock is at most 1
 * % fast or slow: 3,000 ms on a clock that is 1 % slow take 3,031 ms, 3,100 ms on a clock
 * that is 1 % fast take 3,069 ms, and the difference covers the rounding to milliseconds.
 * <p>
 * Thread safety: stateless.
 */
public final class LeaseTiming {

	/** The duration of a lease in milliseconds, as the owner counts it. */
	public static final long LEASE_MS = 3_000;

	/**
	 * The time in milliseconds for which a daemon keeps a promise, and for which it makes
	 * none after a start or a pause.
	 */
	public static final long PROMISE_MS = 3_100;

	/**
	 * The time in milliseconds between two requests for the same promise, and between two
	 * queries to the same owner.
	 */
	public static final long RENEWAL_INTERVAL_MS = 1_000;

	/**
	 * A process is considered to have paused if its timer is late by more than this time
	 * in milliseconds.
	 */
	public static final long PAUSE_THRESHOLD_MS = 2_000;

	private LeaseTiming() {
	}

}
