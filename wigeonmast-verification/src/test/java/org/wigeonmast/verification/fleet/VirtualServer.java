package org.wigeonmast.verification.fleet;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeBackendServer;

/**
 * A backend server in virtual time that reports each run to the oracle.
 * <p>
 * Thread safety: none. Invariant: what it received is run even if the connection has been
 * closed since, which real servers may do.
 */
final class VirtualServer {

	private static final int SLOTS = 2;

	private static final int QUEUE_LIMIT = 20;

	final String name;

	final HostAddress address;

	private final FakeBackendServer server;

	private final FleetOracle oracle;

	private int seen;

	private boolean refusing;

	private boolean leaving;

	VirtualServer(String name, HostAddress address, EventQueue queue, RandomGenerator random, FleetOracle oracle) {
		this.name = name;
		this.address = address;
		this.server = new FakeBackendServer(queue, random, SLOTS, QUEUE_LIMIT);
		this.oracle = oracle;
	}

	FakeBackendServer faults() {
		return this.server;
	}

	void setRefusing(boolean refusing) {
		this.refusing = refusing;
	}

	boolean isRefusing() {
		return this.refusing;
	}

	void leave() {
		this.leaving = true;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void receive(RequestId request, long duration, Consumer<FakeBackendServer.Result> reply) {
		if (this.leaving) {
			reply.accept(FakeBackendServer.Result.SHED);
		}
		else {
			this.server.submit(request.value(), duration, (result) -> {
				recordRuns();
				reply.accept(result);
			});
			recordRuns();
		}
	}

	/** Tells the oracle of runs that started since the last call. */
	void recordRuns() {
		for (; this.seen < this.server.startedRequests().size(); this.seen++) {
			this.oracle.ran(new RequestId(this.server.startedRequests().get(this.seen)), this.name);
		}
	}

}
