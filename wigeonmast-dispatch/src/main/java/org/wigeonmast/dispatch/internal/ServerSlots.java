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
	public static final int MAX_GRANTS_AHEAD = 1;

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final double INITIAL_SHORT_DURATION_MS = 20;

	private static final double INITIAL_LONG_DURATION_MS = 500;

	private BackendServer server;

	private @Nullable ServerHealth health;

	private int heldSlots;

	private int longHeldSlots;

	private double shortDurationMs = INITIAL_SHORT_DURATION_MS;

	private double longDurationMs = INITIAL_LONG_DURATION_MS;

	/**
	 * Creates the slot accounting of a server; initially no slot is in use.
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
	public int heldSlots() {
		return this.heldSlots;
	}

	/**
	 * Adjusts the number of slots in use after a grant or a return.
	 * @param workClass the class of work
	 * @param change 1 or -1
	 */
	public void adjustHeld(WorkClass workClass, int change) {
		this.heldSlots += change;
		if (workClass == WorkClass.LONG) {
			this.longHeldSlots += change;
		}
	}

	/** Resets the number of slots in use to 0. */
	public void resetHeld() {
		this.heldSlots = 0;
		this.longHeldSlots = 0;
	}

	/**
	 * Returns whether the server is used only while no other has a free slot.
	 * @return whether it is the last choice
	 */
	public boolean isLastChoice() {
		return this.health != null && (this.health.state() == ServerHealth.State.AVOIDED
				|| (this.health.state() == ServerHealth.State.SERVING && this.health.weight() <= 0));
	}

	/**
	 * Returns whether the server is on trial, so that it gets idempotent requests only.
	 * @return whether it is on trial
	 */
	public boolean isOnTrial() {
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
			case SERVING, RAMPING -> weightedSlots(this.health.weight());
			case AVOIDED -> this.server.slots();
			case TRIAL -> 1;
			case EJECTED, LEAVING, DEAD -> 0;
		};
	}

	/**
	 * Returns whether a slot is free.
	 * @return whether fewer slots are in use than may be used
	 */
	public boolean hasFreeSlot() {
		return this.heldSlots < usableSlots();
	}

	/**
	 * Returns whether one request of short work may be granted ahead of the next free
	 * slot, so that the server does not idle while a release and a grant are in transit.
	 * Nothing is granted ahead while long work holds all slots, because the wait for the
	 * next free slot would be long.
	 * @return whether it may be granted
	 */
	public boolean canGrantAhead() {
		int usable = usableSlots();
		return usable == this.server.slots() && this.heldSlots < usable + MAX_GRANTS_AHEAD
				&& this.longHeldSlots < usable;
	}

	/**
	 * Returns the cost by which servers are compared for the next grant.
	 * @return the share of its slots in use, multiplied by its mean duration of short
	 * work; lower is better
	 */
	public double cost() {
		return (this.heldSlots + 1) * this.shortDurationMs / Math.max(1, usableSlots());
	}

	/**
	 * Updates the mean duration after an attempt succeeded.
	 * @param workClass the class of work
	 * @param durationMs the duration in milliseconds
	 */
	public void recordDuration(WorkClass workClass, long durationMs) {
		double valueMs = Math.max(1, durationMs);
		if (workClass == WorkClass.SHORT) {
			this.shortDurationMs += SMOOTHING_FACTOR * (valueMs - this.shortDurationMs);
		}
		else {
			this.longDurationMs += SMOOTHING_FACTOR * (valueMs - this.longDurationMs);
		}
	}

	/**
	 * Returns the exponentially weighted mean duration of attempts.
	 * @param workClass the class of work
	 * @return the duration in milliseconds
	 */
	public double meanDurationMs(WorkClass workClass) {
		return (workClass == WorkClass.SHORT) ? this.shortDurationMs : this.longDurationMs;
	}

	private int weightedSlots(double weight) {
		return (weight <= 0) ? this.server.slots() : Math.max(1, (int) Math.round(this.server.slots() * weight));
	}

}
