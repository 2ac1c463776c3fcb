package org.wigeonmast.proxy.internal;

/**
 * Rules of a drain: how long connections of callers are accepted and which requests are
 * still passed on.
 * <p>
 * Thread safety: immutable. Invariant: the deadline of a non-idempotent request that is
 * admitted passes before the drain ends, so that the end of the process cannot cut it
 * off.
 *
 * @param startedAt the monotonic time in milliseconds at which the drain started
 * @param minAcceptingMs the minimum time in milliseconds for which connections are
 * accepted
 * @param limitMs the time in milliseconds after which the process ends whatever is in
 * flight, {@link #NO_LIMIT} if it waits for all requests
 */
public record DrainSchedule(long startedAt, long minAcceptingMs, long limitMs) {

	/** Limit of a drain that waits for all requests. */
	public static final long NO_LIMIT = Long.MAX_VALUE;

	/**
	 * Time in milliseconds without a new connection after which the listener is closed.
	 */
	private static final long QUIET_PERIOD_MS = 300;

	/**
	 * Time in milliseconds after which the listener is closed although new connections
	 * still arrive.
	 */
	private static final long MAX_ACCEPTING_MS = 5000;

	/**
	 * Time in milliseconds after the start of the drain in which idempotent requests are
	 * passed on whatever their deadline, unless half of the drain is shorter.
	 */
	private static final long MAX_EARLY_MS = 3000;

	/**
	 * Time in milliseconds before the end of the drain by which the last answers and
	 * refusals are written.
	 */
	private static final long LAST_ANSWER_MARGIN_MS = 200;

	/**
	 * Returns whether a request is passed on. Idempotent requests are passed on early in
	 * the drain whatever their deadline, since a caller may repeat the few that are still
	 * unanswered at its end.
	 * @param now the current monotonic time in milliseconds
	 * @param deadline the monotonic time in milliseconds by which the request is answered
	 * @param idempotent whether its caller may repeat it if the connection breaks
	 * @return whether it is passed on; otherwise it is refused as not run
	 */
	boolean admits(long now, long deadline, boolean idempotent) {
		if (this.limitMs == NO_LIMIT) {
			return true;
		}
		return deadline <= lastAnswerAt()
				|| (idempotent && now - this.startedAt < Math.min(this.limitMs / 2, MAX_EARLY_MS));
	}

	/**
	 * Returns whether the listener is closed.
	 * @param now the current monotonic time in milliseconds
	 * @param lastConnectionAt the monotonic time in milliseconds of the last new
	 * connection
	 * @return whether no further connection is accepted
	 */
	boolean endsAccepting(long now, long lastConnectionAt) {
		boolean late = now - this.startedAt >= MAX_ACCEPTING_MS || (this.limitMs != NO_LIMIT && now >= lastAnswerAt());
		boolean quiet = now - this.startedAt >= this.minAcceptingMs
				&& now - Math.max(lastConnectionAt, this.startedAt) >= QUIET_PERIOD_MS;
		return late || quiet;
	}

	private long lastAnswerAt() {
		return this.startedAt + this.limitMs - LAST_ANSWER_MARGIN_MS;
	}

}
