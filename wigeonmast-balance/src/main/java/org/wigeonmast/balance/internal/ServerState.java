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
	private static final long SHED_MILLISECONDS = 1000;

	/**
	 * Time in milliseconds for which a server is avoided after the first failed
	 * connection.
	 */
	private static final long UNREACHABLE_MILLISECONDS = 1000;

	/** Minimum time in milliseconds between reports of observations of the same kind. */
	private static final long TOLD_ONCE_PER_MILLISECONDS = 300;

	/** Maximum number of times that the time for an unreachable server is doubled. */
	private static final int MOST_DOUBLINGS = 3;

	// Logarithms of the likelihood ratio of a failing server to a healthy one, by
	// observation.

	private static final double FAILED_WEIGHT = 4;

	private static final double OVERDUE_WEIGHT = 2.5;

	private static final double SERVED_WEIGHT = -1.8;

	private static final double UNREACHABLE_WEIGHT = 0.8;

	private final ServerSuspicion suspicion;

	private ServerRecord record;

	private long warmUntil;

	private long shedUntil;

	private long unreachableUntil;

	private int unreachable;

	private boolean mismatched;

	private long failedAt = Long.MIN_VALUE;

	private final long[] toldAt = new long[ServerObservation.Kind.values().length];

	private boolean reportedSuspected;

	private int inFlight;

	/**
	 * Creates the state of a server that was added or restarted.
	 * @param now the current monotonic time in milliseconds
	 * @param record its record
	 */
	public ServerState(long now, ServerRecord record) {
		this.record = record;
		this.suspicion = new ServerSuspicion(now);
		this.warmUntil = now + record.warmup();
	}

	/**
	 * Applies a changed record of the same start.
	 * @param now the current monotonic time in milliseconds
	 * @param changed the record
	 */
	public void update(long now, ServerRecord changed) {
		this.record = changed;
		this.warmUntil = now + changed.warmup();
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
				this.failedAt = now;
				this.suspicion.observe(now, FAILED_WEIGHT);
			}
			case OVERDUE -> this.suspicion.observe(now, OVERDUE_WEIGHT);
			case SERVED -> this.suspicion.observe(now, SERVED_WEIGHT);
			case UNREACHABLE -> this.suspicion.observe(now, UNREACHABLE_WEIGHT);
			case SHED -> this.shedUntil = now + SHED_MILLISECONDS;
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
		return sentAt > this.failedAt;
	}

	/**
	 * Records that this daemon could not connect; the time of avoidance doubles each
	 * time.
	 * @param now the current monotonic time in milliseconds
	 */
	public void connectFailed(long now) {
		this.unreachableUntil = now + (UNREACHABLE_MILLISECONDS << Math.min(this.unreachable, MOST_DOUBLINGS));
		this.unreachable++;
	}

	/**
	 * Records that the server answered this daemon, which ends its time as unreachable.
	 */
	public void answered() {
		this.unreachable = 0;
		this.unreachableUntil = 0;
	}

	/**
	 * Returns whether an observation is to be reported to peers, which is false shortly
	 * after a report of the same kind. If so, it counts as reported now.
	 * @param now the current monotonic time in milliseconds
	 * @param kind the kind of observation
	 * @return whether to report it
	 */
	public boolean isWorthTelling(long now, ServerObservation.Kind kind) {
		boolean worth = now >= this.toldAt[kind.ordinal()];
		if (worth) {
			this.toldAt[kind.ordinal()] = now + TOLD_ONCE_PER_MILLISECONDS;
		}
		return worth;
	}

	/** Records that another server answered at the address. */
	public void mismatch() {
		this.mismatched = true;
	}

	/**
	 * Returns whether the server became suspected, or is no longer so, since the last
	 * call.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it has
	 */
	public boolean suspicionChanged(long now) {
		boolean suspected = this.suspicion.isSuspected(now);
		boolean changed = suspected != this.reportedSuspected;
		this.reportedSuspected = suspected;
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

	public boolean isCold(long now) {
		return now < this.warmUntil;
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
	public void countInFlight(int change) {
		this.inFlight += change;
	}

}
