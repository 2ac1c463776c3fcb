package org.wigeonmast.bench.detection;

import org.wigeonmast.manifest.WorkClass;

/**
 * A request in the simulation.
 * <p>
 * Thread safety: none.
 */
final class SimulatedRequest {

	final int daemon;

	final int server;

	final WorkClass workClass;

	/** When it was sent in microseconds. */
	final long sent;

	/** Service time of a healthy server in milliseconds. */
	final double serviceTime;

	boolean ended;

	boolean running;

	boolean lost;

	SimulatedRequest(int daemon, int server, WorkClass workClass, long sent, double serviceTime) {
		this.daemon = daemon;
		this.server = server;
		this.workClass = workClass;
		this.sent = sent;
		this.serviceTime = serviceTime;
	}

}
