package org.wigeonmast.balance.internal;

import org.wigeonmast.balance.ServerRecord;
import org.wigeonmast.balance.peer.ServerNews;

/**
 * What this daemon knows of one start of a backend server.
 * <p>
 * Thread safety: none.
 */
public final class ServerState {

	/** Time in milliseconds during which a server that is full gets less work. */
	private static final long SHED_MILLISECONDS = 1000;

	/** First time in milliseconds during which an unreachable server is avoided. */
	private static final long UNREACHABLE_MILLISECONDS = 1000;

	/** Time in milliseconds in which the same is told once. */
	private static final long TOLD_ONCE_PER_MILLISECONDS = 300;

	private static final int MOST_DOUBLINGS = 3;

	private static final double FAILED_WEIGHT = 4;

	private static final double OVERDUE_WEIGHT = 2.5;

	private static final double SERVED_WEIGHT = -1.8;

	private static final double UNREACHABLE_WEIGHT = 0.8;

	private final Suspicion suspicion;

	private ServerRecord record;

	private long warmUntil;

	private long shedUntil;

	private long unreachableUntil;

	private int unreachable;

	private boolean mismatched;

	private long failedAt = Long.MIN_VALUE;

	private final long[] toldAt = new long[ServerNews.Kind.values().length];

	private boolean reportedSuspected;

	private int inFlight;

	/**
	 * Creates the state of a server that appeared.
	 * @param now the monotonic time in milliseconds
	 * @param record its record
	 */
	public ServerState(long now, ServerRecord record) {
		this.record = record;
		this.suspicion = new Suspicion(now);
		this.warmUntil = now + record.warmup();
	}

	/**
	 * Takes a changed record of the same start.
	 * @param now the monotonic time in milliseconds
	 * @param changed the record
	 */
	public void update(long now, ServerRecord changed) {
		this.record = changed;
		this.warmUntil = now + changed.warmup();
		this.mismatched = false;
	}

	/**
	 * Takes evidence.
	 * @param now the monotonic time in milliseconds
	 * @param kind what was seen
	 */
	public void observe(long now, ServerNews.Kind kind) {
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
	 * Returns whether the answer of a request says something of the server's state. One
	 * that was sent before the last failure may have been accepted before that spell.
	 * @param sentAt when the request was sent, as monotonic time in milliseconds
	 * @return whether the answer is evidence
	 */
	public boolean isEvidence(long sentAt) {
		return sentAt > this.failedAt;
	}

	/**
	 * Notes that this daemon could not connect.
	 * @param now the monotonic time in milliseconds
	 */
	public void connectFailed(long now) {
		this.unreachableUntil = now + (UNREACHABLE_MILLISECONDS << Math.min(this.unreachable, MOST_DOUBLINGS));
		this.unreachable++;
	}

	/** Notes that the server answered this daemon. */
	public void answered() {
		this.unreachable = 0;
		this.unreachableUntil = 0;
	}

	/**
	 * Returns whether peers are to be told an observation, which they are not when the
	 * same was told just before.
	 * @param now the monotonic time in milliseconds
	 * @param kind what was seen
	 * @return whether to tell it
	 */
	public boolean isWorthTelling(long now, ServerNews.Kind kind) {
		boolean worth = now >= this.toldAt[kind.ordinal()];
		if (worth) {
			this.toldAt[kind.ordinal()] = now + TOLD_ONCE_PER_MILLISECONDS;
		}
		return worth;
	}

	/** Notes that another server answered at the address. */
	public void mismatch() {
		this.mismatched = true;
	}

	/**
	 * Returns whether the suspicion has crossed its threshold since the last call.
	 * @param now the monotonic time in milliseconds
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

	public Suspicion suspicion() {
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
	 * Counts attempts in flight.
	 * @param change 1 for a new one, -1 for one that ended
	 */
	public void countInFlight(int change) {
		this.inFlight += change;
	}

}
