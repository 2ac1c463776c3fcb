package org.wigeonmast.cli.standin;

/**
 * The faults that a stand-in backend server shows.
 * <p>
 * Thread safety: immutable.
 *
 * @param slowdown how many times longer work takes, 1 for a healthy server
 * @param failureShare the share of work, 0 to 1, that runs and is answered with status
 * 500
 * @param silent whether work runs and is never answered
 * @param leaving whether the server says that it leaves and refuses new work
 * @param shedding whether the server refuses all new work
 * @param truncating whether connections are closed in the middle of a response body
 */
public record ServerFaults(double slowdown, double failureShare, boolean silent, boolean leaving, boolean shedding,
		boolean truncating) {

	/**
	 * Returns the behaviour of a healthy server.
	 * @return no faults
	 */
	public static ServerFaults none() {
		return new ServerFaults(1, 0, false, false, false, false);
	}

	/**
	 * Returns these faults with another slowdown.
	 * @param factor how many times longer work takes
	 * @return the faults
	 */
	public ServerFaults withSlowdown(double factor) {
		return new ServerFaults(factor, this.failureShare, this.silent, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with another share of failing work.
	 * @param share the share, 0 to 1
	 * @return the faults
	 */
	public ServerFaults withFailureShare(double share) {
		return new ServerFaults(this.slowdown, share, this.silent, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with silence.
	 * @return the faults
	 */
	public ServerFaults withSilence() {
		return new ServerFaults(this.slowdown, this.failureShare, true, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with leaving.
	 * @return the faults
	 */
	public ServerFaults withLeaving() {
		return new ServerFaults(this.slowdown, this.failureShare, this.silent, true, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with load shedding.
	 * @return the faults
	 */
	public ServerFaults withShedding() {
		return new ServerFaults(this.slowdown, this.failureShare, this.silent, this.leaving, true, this.truncating);
	}

	/**
	 * Returns these faults with truncated bodies.
	 * @return the faults
	 */
	public ServerFaults withTruncation() {
		return new ServerFaults(this.slowdown, this.failureShare, this.silent, this.leaving, this.shedding, true);
	}

}
