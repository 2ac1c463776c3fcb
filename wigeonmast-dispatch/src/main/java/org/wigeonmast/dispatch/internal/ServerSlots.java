package org.wigeonmast.dispatch.internal;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.WorkClass;

/**
 * The slots of one backend server, as accounted for by their owner.
 * <p>
 * Thread safety: none.
 */
public final class ServerSlots {

	/** The number of grants beyond the slots of a server while requests queue. */
	public static final int GRANTS_AHEAD = 1;

	private static final double SMOOTHING = 0.1;

	private static final double FIRST_SHORT_DURATION = 20;

	private static final double FIRST_LONG_DURATION = 500;

	private BackendServer server;

	private @Nullable ServerHealth health;

	private int held;

	private int longHeld;

	private double shortDuration = FIRST_SHORT_DURATION;

	private double longDuration = FIRST_LONG_DURATION;

	/**
	 * Creates the accounting of a server without slots in use.
	 * @param server the server
	 */
	public ServerSlots(BackendServer server) {
		this.server = server;
	}

	/**
	 * Returns the server.
	 * @return the server
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Replaces the server after a manifest change.
	 * @param server the server with the same identifier
	 */
	public void setServer(BackendServer server) {
		this.server = server;
	}

	/**
	 * Replaces the health.
	 * @param health the health, or {@code null} for a server in service with full weight
	 */
	public void setHealth(@Nullable ServerHealth health) {
		this.health = health;
	}

	/**
	 * Returns the number of slots in use.
	 * @return the number, which may exceed the server's slots because several daemons can
	 * dispatch directly to the same server
	 */
	public int held() {
		return this.held;
	}

	/**
	 * Adjusts the number of slots in use after a grant or a return.
	 * @param workClass the class of work
	 * @param change 1 or -1
	 */
	public void count(WorkClass workClass, int change) {
		this.held += change;
		if (workClass == WorkClass.LONG) {
			this.longHeld += change;
		}
	}

	/** Resets the number of slots in use to 0. */
	public void clear() {
		this.held = 0;
		this.longHeld = 0;
	}

	/**
	 * Returns whether the server is used only while no other has a free slot.
	 * @return whether it is the last choice
	 */
	public boolean lastChoice() {
		return this.health != null && (this.health.state() == ServerHealth.State.AVOIDED
				|| (this.health.state() == ServerHealth.State.SERVING && this.health.weight() <= 0));
	}

	/**
	 * Returns whether the server is on trial, so that it gets idempotent requests only.
	 * @return whether it is on trial
	 */
	public boolean trial() {
		return this.health != null && this.health.state() == ServerHealth.State.TRIAL;
	}

	/**
	 * Returns the number of slots that may be used.
	 * @return the number, 0 for a server that is out of service
	 */
	public int usableSlots() {
		if (this.health == null) {
			return this.server.slots();
		}
		return switch (this.health.state()) {
			case SERVING, RAMPING -> weighted(this.health.weight());
			case AVOIDED -> this.server.slots();
			case TRIAL -> 1;
			case EJECTED, LEAVING, DEAD -> 0;
		};
	}

	/**
	 * Returns whether a slot is free.
	 * @return whether fewer slots are in use than may be used
	 */
	public boolean free() {
		return this.held < usableSlots();
	}

	/**
	 * Returns whether one request of short work may be granted ahead of the next free
	 * slot, so that the server does not idle while a release and a grant are in transit.
	 * Nothing is granted ahead while long work holds all slots, because the wait for the
	 * next free slot would be long.
	 * @return whether it may be granted
	 */
	public boolean freeAhead() {
		int usable = usableSlots();
		return usable == this.server.slots() && this.held < usable + GRANTS_AHEAD && this.longHeld < usable;
	}

	/**
	 * Returns the cost by which servers are compared for the next grant.
	 * @return the share of its slots in use, multiplied by its mean duration of short
	 * work; lower is better
	 */
	public double rank() {
		return (this.held + 1) * this.shortDuration / Math.max(1, usableSlots());
	}

	/**
	 * Updates the mean duration after an attempt succeeded.
	 * @param workClass the class of work
	 * @param duration the duration in milliseconds
	 */
	public void learn(WorkClass workClass, long duration) {
		double value = Math.max(1, duration);
		if (workClass == WorkClass.SHORT) {
			this.shortDuration += SMOOTHING * (value - this.shortDuration);
		}
		else {
			this.longDuration += SMOOTHING * (value - this.longDuration);
		}
	}

	/**
	 * Returns the exponentially weighted mean duration of attempts.
	 * @param workClass the class of work
	 * @return the duration in milliseconds
	 */
	public double duration(WorkClass workClass) {
		return (workClass == WorkClass.SHORT) ? this.shortDuration : this.longDuration;
	}

	private int weighted(double weight) {
		return (weight <= 0) ? this.server.slots() : Math.max(1, (int) Math.round(this.server.slots() * weight));
	}

}
