package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.wigeonmast.balance.peer.ObservationAudience;
import org.wigeonmast.balance.peer.Peer;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * The size of a simulated fleet and the behavior of its backend servers.
 *
 * @param daemons the number of daemons
 * @param servers the number of backend servers of the service
 * @param domains the failure domains, over which daemons and servers are spread evenly
 * @param slots the requests that a server works on at a time
 * @param queue the requests that wait at a server
 * @param healthyMs average time in milliseconds between the failure episodes of a server
 * @param failingMs average length of a failure episode in milliseconds
 * @param deadlineMs the time in milliseconds after which a caller gives up
 * @param targetMs the target latency of requests in milliseconds
 * @param work the duration of the work of a request
 */
record FleetShape(int daemons, int servers, List<FailureDomain> domains, int slots, int queue, double healthyMs,
		double failingMs, long deadlineMs, long targetMs, Work work) {

	private static final int UNLIMITED = Integer.MAX_VALUE;

	private static final Region DIRE = new Region("dire");

	private static final FailureDomain SABIAN = new FailureDomain(DIRE, "sabian");

	/** Three dozen daemons before servers that never are full. */
	static final FleetShape SMALL = new FleetShape(36, 16,
			List.of(BalanceFixtures.HOME, BalanceFixtures.NEAR, BalanceFixtures.FAR, SABIAN), UNLIMITED, 0, 13_000,
			5600, 2000, 600, (random) -> 100 + random.nextInt(200));

	/** Hundreds of hosts in eight failure domains, with two slots for each server. */
	static final FleetShape LARGE = new FleetShape(141, 155,
			List.of(BalanceFixtures.HOME, BalanceFixtures.NEAR, BalanceFixtures.FAR, SABIAN,
					new FailureDomain(BalanceFixtures.HOME.region(), "bole"), new FailureDomain(DIRE, "megala"),
					new FailureDomain(BalanceFixtures.HOME.region(), "kazanchis"), new FailureDomain(DIRE, "ganda")),
			2, 8, 9000, 3900, 6000, 1500, FleetShape::drawVariedWork);

	FailureDomain domain(int number) {
		return this.domains.get(number % this.domains.size());
	}

	/**
	 * Returns the daemons that receive an observation at once.
	 * @param reporter the number of the reporter
	 * @param serverDomain the failure domain of the server
	 * @return the receivers, whose ports are their numbers
	 */
	List<HostAddress> audience(int reporter, FailureDomain serverDomain) {
		List<Peer> peers = new ArrayList<>();
		for (int i = 0; i < this.daemons; i++) {
			if (i != reporter) {
				peers.add(new Peer(new HostAddress("127.0.0.1", i), domain(i)));
			}
		}
		return ObservationAudience.select(domain(reporter), serverDomain, peers);
	}

	// Log-normal with a mean of 200 ms, and three in a hundred requests with seven times
	// the work.
	private static long drawVariedWork(Random random) {
		double spread = 0.8;
		double work = 170 * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
		return (long) Math.min(2200, (random.nextDouble() < 0.03) ? 7 * work : work);
	}

	/** The duration of the work of a request. */
	@FunctionalInterface
	interface Work {

		/**
		 * Draws a duration.
		 * @param random the source of random numbers
		 * @return the duration in milliseconds
		 */
		long draw(Random random);

	}

}
