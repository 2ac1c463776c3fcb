package org.wigeonmast.bench.policy;

import org.wigeonmast.dispatch.QueueOrder;

/**
 * The load and the servers of one run.
 * <p>
 * Thread safety: immutable. Loads are shares of the capacity of all slots.
 *
 * @param name the name in the report
 * @param serversPerRegion the number of backend servers in each region
 * @param slots the slots of a server
 * @param domainDelay the one-way delay between failure domains in microseconds
 * @param shortLoad the load of short work before and after the surge
 * @param longLoad the load of long work
 * @param surgeLoad the load of short work during the surge, 0 for no surge
 * @param graySlowdown how many times slower a quarter of the servers is, 1 for none
 * @param duration the duration of arrivals in microseconds
 * @param order the order of the owner's queues
 */
record Scenario(String name, int serversPerRegion, int slots, long domainDelay, double shortLoad, double longLoad,
		double surgeLoad, double graySlowdown, long duration, QueueOrder order) {

	static final long SECOND = 1_000_000;

	/** Mean duration of short work in microseconds. */
	static final double SHORT_MEAN = 20_000;

	/** Mean duration of long work in microseconds. */
	static final double LONG_MEAN = 400_000;

	static final long SHORT_DEADLINE = 1000;

	static final long LONG_DEADLINE = 10_000;

	/** The share of slots that long work may hold. */
	static final double LONG_SHARE = 0.25;

	/** A new owner requires grants until it has measured a low load for a while. */
	static final long WARM_UP = 5 * SECOND;

	static final long SURGE_START = 20 * SECOND;

	static final long SURGE_RAMP = 2 * SECOND;

	static final long SURGE_LENGTH = 60 * SECOND;

	static final long SURGE_END = SURGE_START + SURGE_RAMP + SURGE_LENGTH;

	static final int REGIONS = 2;

	static Scenario steady(User user, double load) {
		return new Scenario("steady " + Math.round(load * 100) + " %", user.serversPerRegion(), user.slots(),
				user.domainDelay(), load, 0, 0, 1, 20 * SECOND, QueueOrder.FIRST_IN_FIRST_OUT);
	}

	static Scenario mixed(User user, double shortLoad, double longLoad) {
		return new Scenario("short " + Math.round(shortLoad * 100) + " % long " + Math.round(longLoad * 100) + " %",
				user.serversPerRegion(), user.slots(), user.domainDelay(), shortLoad, longLoad, 0, 1, 60 * SECOND,
				QueueOrder.FIRST_IN_FIRST_OUT);
	}

	static Scenario surge(User user, boolean gray, QueueOrder order) {
		return new Scenario(gray ? "surge with gray quarter" : "surge", user.serversPerRegion(), user.slots(),
				user.domainDelay(), 0.2, 0, 3, gray ? 10 : 1, SURGE_END + SURGE_RAMP + 20 * SECOND, order);
	}

	int totalSlots() {
		return REGIONS * this.serversPerRegion * this.slots;
	}

	/** Returns the number of gray servers in each region. */
	int gray() {
		return (this.graySlowdown > 1) ? Math.max(1, this.serversPerRegion / 4) : 0;
	}

	/** Returns the slots of servers that are not gray. */
	int healthySlots() {
		return REGIONS * (this.serversPerRegion - gray()) * this.slots;
	}

	/** Returns the load of short work at a time. */
	double loadAt(long time) {
		if (this.surgeLoad == 0 || time < SURGE_START || time > SURGE_END + SURGE_RAMP) {
			return this.shortLoad;
		}
		double up = (time - SURGE_START) / (double) SURGE_RAMP;
		double down = (SURGE_END + SURGE_RAMP - time) / (double) SURGE_RAMP;
		return this.shortLoad + (this.surgeLoad - this.shortLoad) * Math.min(1, Math.min(up, down));
	}

	/** One of the two users, by one service each. */
	enum User {

		/** The Kitchens: rota-board. */
		KITCHENS(4, 2, 1000),

		/** The Archives: catalogue. */
		ARCHIVES(4, 3, 500);

		private final int serversPerRegion;

		private final int slots;

		private final long domainDelay;

		User(int serversPerRegion, int slots, long domainDelay) {
			this.serversPerRegion = serversPerRegion;
			this.slots = slots;
			this.domainDelay = domainDelay;
		}

		int serversPerRegion() {
			return this.serversPerRegion;
		}

		int slots() {
			return this.slots;
		}

		long domainDelay() {
			return this.domainDelay;
		}

	}

}
