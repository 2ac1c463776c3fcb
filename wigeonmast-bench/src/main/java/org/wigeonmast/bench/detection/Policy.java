package org.wigeonmast.bench.detection;

import org.wigeonmast.health.Observation;

/**
 * A way to find unhealthy servers, as the simulation sees it.
 * <p>
 * Thread safety: none.
 */
interface Policy {

	/** Time between calls of {@link #tick} in milliseconds. */
	long PERIOD = 100;

	/**
	 * Takes the end of a request.
	 * @param now the time in milliseconds
	 * @param daemon the number of the daemon
	 * @param server the number of the server
	 * @param observation what the daemon saw
	 */
	void ended(long now, int daemon, int server, Observation observation);

	/**
	 * Runs the timers.
	 * @param now the time in milliseconds
	 * @param inFlight the requests in flight
	 */
	void tick(long now, Iterable<SimulatedRequest> inFlight);

	/**
	 * Returns the weight of a server for a daemon.
	 * @param daemon the number of the daemon
	 * @param server the number of the server
	 * @return the weight, 0 to 1
	 */
	double weight(int daemon, int server);

	/**
	 * Returns the share of the daemons that have the server ejected.
	 * @param now the time in milliseconds
	 * @param server the number of the server
	 * @return the share
	 */
	double ejectedShare(long now, int server);

	/**
	 * Returns the number of ejections so far, where an ejection by one daemon alone
	 * counts as its share of the daemons.
	 * @return the number
	 */
	double ejections();

}
