package org.wigeonmast.bench.detection;

/**
 * What goes wrong from the start of the fault on.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name in the report
 * @param slowdown how many times longer work takes
 * @param failureShare the share of requests that are answered with an error
 * @param silent whether nothing is answered
 * @param period the period of flapping in milliseconds, 0 for a lasting fault; the fault
 * is there in the first half
 * @param everyServer whether it affects all servers alike
 * @param ramp the time in milliseconds over which the slowdown builds up
 * @param cutShare the share of daemons whose requests to the server get no answer
 */
record Fault(String name, double slowdown, double failureShare, boolean silent, long period, boolean everyServer,
		long ramp, double cutShare) {

	static final Fault NONE = new Fault("none", 1, 0, false, 0, false, 0, 0);

	static Fault slow(double factor) {
		return new Fault(factor + " times slower", factor, 0, false, 0, false, 0, 0);
	}

	static Fault failing(double share) {
		return new Fault(Math.round(100 * share) + " % failing", 1, share, false, 0, false, 0, 0);
	}

	static Fault silence() {
		return new Fault("silent", 1, 0, true, 0, false, 0, 0);
	}

	static Fault flapping(long period) {
		return new Fault("10 times slower, period " + period / 1000 + " s", 10, 0, false, period, false, 0, 0);
	}

	static Fault allSlow(double factor, long ramp) {
		return new Fault("all " + factor + " times slower, " + ((ramp > 0) ? "ramp" : "step"), factor, 0, false, 0,
				true, ramp, 0);
	}

	static Fault cut(double share) {
		return new Fault("cut from " + Math.round(100 * share) + " % of the daemons", 1, 0, false, 0, false, 0, share);
	}

	/**
	 * Returns whether the fault is there.
	 * @param since the time in milliseconds since its start
	 * @return whether it is there
	 */
	boolean active(double since) {
		return since >= 0 && (this.period == 0 || since % this.period < this.period / 2.0);
	}

	/**
	 * Returns the slowdown.
	 * @param since the time in milliseconds since the start of the fault
	 * @return the factor for service times
	 */
	double slowdown(double since) {
		if (!active(since)) {
			return 1;
		}
		return (since < this.ramp) ? 1 + (this.slowdown - 1) * since / this.ramp : this.slowdown;
	}

}
