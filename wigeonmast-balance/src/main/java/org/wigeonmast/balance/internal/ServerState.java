package org.wigeonmast.balance.internal;

import org.wigeonmast.balance.ServerRecord;
import org.wigeonmast.balance.peer.ServerObservation;

/**
 * The state of one start of a backend server, by the observations of this daemon and its
 * peers.
 * <p>
 * Thread safety: none.
 */
public final class ServerState {

	/**
	 * Time in milliseconds during which a server that refused as full gets fewer
	 * requests.
	 */
	private static final long SHED_PENALTY_MS = 1000;

	/**
	 * Time in milliseconds for which a server is avoided after the first failed
	 * connection.
	 */
	private static final long UNREACHABLE_PENALTY_MS = 1000;

	/** Minimum time in milliseconds between reports of observations of the same kind. */
	private static final long REPORT_INTERVAL_MS = 300;

	/** Maximum number of times that the time for an unreachable server is doubled. */
	private static final int MAX_PENALTY_DOUBLINGS = 3;

	// Logarithms of the likelihood ratio of a failing server to a healthy one, by
	// observation.

	private static final double FAILED_LOG_RATIO = 4;

	private static final double OVERDUE_LOG_RATIO = 2.5;

	private static final double SERVED_LOG_RATIO = -1.8;

	private static final double UNREACHABLE_LOG_RATIO = 0.8;

	/** A time so long ago that differences to it do not overflow. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final ServerSuspicion suspicion;

	private ServerRecord record;

	private long warmupEndsAt;

	private long shedUntil;

	private long unreachableUntil;

	private int failedConnects;

	private boolean mismatched;

	private long lastFailureAt = NEVER;

	private final long[] nextReportAt = new long[ServerObservation.Kind.values().length];

	private boolean wasSuspected;

	private int inFlight;

	/**
	 * Creates the state of a server that was added or restarted.
	 * @param now the current monotonic time in milliseconds
	 * @param record its record
	 */
	public ServerState(long now, ServerRecord record) {
		this.record = record;
		this.suspicion = new ServerSuspicion(now);
		this.warmupEndsAt = now + record.warmup();
	}

	/**
	 * Applies a changed record of the same start.
	 * @param now the current monotonic time in milliseconds
	 * @param changed the record
	 */
	public void updateRecord(long now, ServerRecord changed) {
		this.record = changed;
		this.warmupEndsAt = now + changed.warmup();
		this.mismatched = false;
	}

	/**
	 * Records an observation of this daemon or a peer.
	 * @param now the current monotonic time in milliseconds
	 * @param kind the kind of observation
	 */
	public void observe(long now, ServerObservation.Kind kind) {
		switch (kind) {
			case FAILED -> {
				this.lastFailureAt = now;
				this.suspicion.observe(now, FAILED_LOG_RATIO);
			}
			case OVERDUE -> this.suspicion.observe(now, OVERDUE_LOG_RATIO);
			case SERVED -> this.suspicion.observe(now, SERVED_LOG_RATIO);
			case UNREACHABLE -> this.suspicion.observe(now, UNREACHABLE_LOG_RATIO);
			case SHED -> this.shedUntil = now + SHED_PENALTY_MS;
		}
	}

	/**
	 * Returns whether the answer of a request is evidence of the server's present state.
	 * The server may have accepted a request that was sent before the last failure before
	 * it began to fail.
	 * @param sentAt the monotonic time in milliseconds at which the request was sent
	 * @return whether the answer is evidence
	 */
	public boolean isEvidence(long sentAt) {
		return sentAt > this.lastFailureAt;
	}

	/**
	 * Returns whether a request to the server is known to have failed recently.
	 * @param now the current monotonic time in milliseconds
	 * @return whether one failed within {@link RecentFailures#WINDOW_MS}
	 */
	boolean hasFailedRecently(long now) {
		return now - this.lastFailureAt < RecentFailures.WINDOW_MS;
	}

	/**
	 * Records that this daemon could not connect; the time of avoidance doubles each
	 * time.
	 * @param now the current monotonic time in milliseconds
	 */
	public void recordConnectFailure(long now) {
		this.unreachableUntil = now + (UNREACHABLE_PENALTY_MS << Math.min(this.failedConnects, MAX_PENALTY_DOUBLINGS));
		this.failedConnects++;
	}

	/**
	 * Records that the server answered this daemon, which ends its time as unreachable.
	 */
	public void recordResponse() {
		this.failedConnects = 0;
		this.unreachableUntil = 0;
	}

	/**
	 * Returns whether an observation is to be reported to peers, which is false shortly
	 * after a report of the same kind. If so, it counts as reported now.
	 * @param now the current monotonic time in milliseconds
	 * @param kind the kind of observation
	 * @return whether to report it
	 */
	public boolean tryBeginReport(long now, ServerObservation.Kind kind) {
		boolean due = now >= this.nextReportAt[kind.ordinal()];
		if (due) {
			this.nextReportAt[kind.ordinal()] = now + REPORT_INTERVAL_MS;
		}
		return due;
	}

	/** Records that another server answered at the address. */
	public void markMismatched() {
		this.mismatched = true;
	}

	/**
	 * Updates whether the server is suspected.
	 * @param now the current monotonic time in milliseconds
	 * @return whether this has changed since the last call
	 */
	public boolean updateSuspected(long now) {
		boolean suspected = this.suspicion.isSuspected(now);
		boolean changed = suspected != this.wasSuspected;
		this.wasSuspected = suspected;
		return changed;
	}

	public ServerRecord record() {
		return this.record;
	}

	public ServerSuspicion suspicion() {
		return this.suspicion;
	}

	public boolean isUsable() {
		return !this.record.leaving() && !this.mismatched;
	}

	public boolean isWarmingUp(long now) {
		return now < this.warmupEndsAt;
	}

	public boolean hasShed(long now) {
		return now < this.shedUntil;
	}

	public boolean isUnreachable(long now) {
		return now < this.unreachableUntil;
	}

	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Adjusts the number of attempts in flight.
	 * @param change 1 for a new attempt, -1 for one that ended
	 */
	public void adjustInFlight(int change) {
		this.inFlight += change;
	}

}
