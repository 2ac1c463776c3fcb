package org.wigeonmast.cli.standin;

/**
 * Faults that a stand-in backend server simulates.
 * <p>
 * Thread safety: immutable.
 *
 * @param slowdown the factor on the service time, 1 for a healthy server
 * @param failureShare the share of requests, 0 to 1, that run and get a response with
 * status 500
 * @param silent whether requests run but never get a response
 * @param leaving whether the server announces that it is leaving and refuses new requests
 * @param shedding whether the server refuses all new requests
 * @param truncating whether connections are closed in the middle of a response body
 */
public record ServerFaults(double slowdown, double failureShare, boolean silent, boolean leaving, boolean shedding,
		boolean truncating) {

	/**
	 * Returns the faults of a healthy server.
	 * @return no faults
	 */
	public static ServerFaults none() {
		return new ServerFaults(1, 0, false, false, false, false);
	}

	/**
	 * Returns these faults with another slowdown.
	 * @param factor the factor on the service time
	 * @return the faults
	 */
	public ServerFaults withSlowdown(double factor) {
		return new ServerFaults(factor, this.failureShare, this.silent, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with another share of failing requests.
	 * @param share the share, 0 to 1
	 * @return the faults
	 */
	public ServerFaults withFailureShare(double share) {
		return new ServerFaults(this.slowdown, share, this.silent, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults with responses withheld.
	 * @return the faults
	 */
	public ServerFaults withSilence() {
		return new ServerFaults(this.slowdown, this.failureShare, true, this.leaving, this.shedding, this.truncating);
	}

	/**
	 * Returns these faults for a server that is leaving.
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
