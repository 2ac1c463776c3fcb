package org.wigeonmast.balance.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.manifest.WorkClass;

/**
 * Selector of the backend server of an attempt by the expected cost of each server.
 * <p>
 * Thread safety: none. Costs are fractions of the value of a request. The selection is
 * random with weights that fall exponentially with the cost (softmax), so that daemons
 * with the same information do not all select the same server. While many requests fail,
 * a part of them is spread evenly instead, which renews what is known of servers that are
 * not preferred. Invariant: suspicion alone never takes more than the spare share of a
 * service's servers out of use.
 */
public final class CostBasedServerSelector {

	/** Difference in cost at which a server is selected about a third (1/e) as often. */
	private static final double TEMPERATURE = 0.025;

	/** Cost of sending a short request to another failure domain of the region. */
	private static final double OTHER_DOMAIN_COST = 0.05;

	/** The same cost if the own failure domain has many servers of the service. */
	private static final double OTHER_DOMAIN_COST_OF_MANY = 0.1;

	/**
	 * Number of servers in the own failure domain from which those of other domains are
	 * not needed, so that fewer daemons meet each server's failures.
	 */
	private static final int MANY_SERVERS = 8;

	/** The same cost for a long request. */
	private static final double OTHER_DOMAIN_LONG_COST = 0.5;

	/**
	 * Cost of sending a short request to another region, over a link of low bandwidth.
	 */
	private static final double OTHER_REGION_COST = 0.25;

	/** The same cost for a long request. */
	private static final double OTHER_REGION_LONG_COST = 3;

	/**
	 * Cost of a failure of a short request that can be retried at another server. Other
	 * failures cost 1. Long requests have no discount, because the other server is mostly
	 * in another failure domain.
	 */
	private static final double REPEATABLE_FAILURE_COST = 0.7;

	/**
	 * Cost of a server whose slots are all in use by this daemon; it is proportional to
	 * the fraction in use.
	 */
	private static final double IN_FLIGHT_COST = 0.25;

	/** Additional cost of a server during its warm-up. */
	private static final double WARMUP_COST = 0.15;

	/**
	 * Additional cost of a server that recently refused a request because it was full.
	 */
	private static final double SHED_COST = 0.4;

	/** Additional cost of a server to which connections recently failed. */
	private static final double UNREACHABLE_COST = 0.8;

	/**
	 * Upper bound of the failure probability that is assumed for servers other than the
	 * spare ones.
	 */
	private static final double MAX_PROBABILITY_OF_OTHERS = 0.1;

	/** Fraction of servers that may be failing at a time; the others count as healthy. */
	private static final double FAILING_SHARE = 0.2;

	/**
	 * Utilization of the servers above which suspected servers are used again.
	 */
	private static final double MAX_UTILIZATION = 0.75;

	private final FailureDomain home;

	private final double spareShare;

	private final RandomGenerator random;

	/**
	 * Creates a selector.
	 * @param home the failure domain of this daemon
	 * @param floorShare the minimum fraction of a service's healthy servers that stays in
	 * use
	 * @param random the source of random numbers
	 */
	public CostBasedServerSelector(FailureDomain home, double floorShare, RandomGenerator random) {
		this.home = home;
		this.spareShare = 1 - floorShare * (1 - FAILING_SHARE);
		this.random = random;
	}

	/**
	 * Selects a server.
	 * @param now the current monotonic time in milliseconds
	 * @param servers the servers of the service
	 * @param tried the servers that were tried already, which are not selected again
	 * @param workClass the work class of the request
	 * @param idempotent whether the request may be sent to another server after a failure
	 * @param busySlots the number of slots of the service that the fleet uses
	 * @param spreadShare the share of requests that are spread evenly over the servers of
	 * this region without a recent failure
	 * @return the server, or {@code null} if there is no usable one left
	 */
	public @Nullable ServerState select(long now, Collection<ServerState> servers, Set<BackendServerId> tried,
			WorkClass workClass, boolean idempotent, double busySlots, double spreadShare) {
		List<ServerState> usable = new ArrayList<>(servers.size());
		for (ServerState server : servers) {
			if (server.isUsable()) {
				usable.add(server);
			}
		}
		ServerState spread = (this.random.nextDouble() < spreadShare) ? selectEvenly(now, usable, tried) : null;
		if (spread != null) {
			return spread;
		}
		Set<ServerState> spareServers = mostSuspected(now, usable, busySlots);
		boolean retryable = idempotent && workClass == WorkClass.SHORT;
		boolean manyAtHome = usable.stream().filter(this::isAtHome).limit(MANY_SERVERS).count() == MANY_SERVERS;
		ServerState best = null;
		double lowestCost = Double.POSITIVE_INFINITY;
		for (ServerState server : usable) {
			if (tried.contains(server.record().id())) {
				continue;
			}
			double failureProbability = server.suspicion().probability(now);
			if (!spareServers.contains(server)) {
				failureProbability = Math.min(failureProbability, MAX_PROBABILITY_OF_OTHERS);
			}
			double cost = failureProbability * (retryable ? REPEATABLE_FAILURE_COST : 1)
					+ distanceCost(server, workClass, manyAtHome) + stateCost(now, server)
					- TEMPERATURE * gumbelNoise();
			if (cost < lowestCost) {
				lowestCost = cost;
				best = server;
			}
		}
		return best;
	}

	// Selects evenly among the servers of the region that are not known to be in trouble
	// just now.
	private @Nullable ServerState selectEvenly(long now, List<ServerState> usable, Set<BackendServerId> tried) {
		List<ServerState> candidates = usable.stream()
			.filter((server) -> !tried.contains(server.record().id()) && !server.hasFailedRecently(now)
					&& !server.hasShed(now) && !server.isUnreachable(now) && isInOwnRegion(server))
			.toList();
		return candidates.isEmpty() ? null : candidates.get(this.random.nextInt(candidates.size()));
	}

	private boolean isInOwnRegion(ServerState server) {
		return server.record().failureDomain().region().equals(this.home.region());
	}

	// Returns the most suspected servers that the service can do without: at most the
	// spare share of the usable servers, and at most so many that the utilization of the
	// others stays within MAX_UTILIZATION; the number is rounded up. Only the suspicion
	// of these servers counts in full.
	private Set<ServerState> mostSuspected(long now, List<ServerState> usable, double busySlots) {
		int slots = usable.stream().mapToInt((server) -> server.record().slots()).sum();
		double neededServers = usable.size() * busySlots / (MAX_UTILIZATION * Math.max(1, slots));
		int spareCount = (int) Math
			.ceil(Math.min(usable.size() * this.spareShare, Math.max(0, usable.size() - neededServers)));
		Comparator<ServerState> bySuspicion = Comparator
			.comparingDouble((server) -> -server.suspicion().probability(now));
		return usable.stream().sorted(bySuspicion).limit(spareCount).collect(Collectors.toSet());
	}

	private boolean isAtHome(ServerState server) {
		return server.record().failureDomain().equals(this.home);
	}

	private double distanceCost(ServerState server, WorkClass workClass, boolean manyAtHome) {
		boolean longRequest = workClass == WorkClass.LONG;
		if (isAtHome(server)) {
			return 0;
		}
		if (isInOwnRegion(server)) {
			double shortCost = manyAtHome ? OTHER_DOMAIN_COST_OF_MANY : OTHER_DOMAIN_COST;
			return longRequest ? OTHER_DOMAIN_LONG_COST : shortCost;
		}
		return longRequest ? OTHER_REGION_LONG_COST : OTHER_REGION_COST;
	}

	private double stateCost(long now, ServerState server) {
		double cost = IN_FLIGHT_COST * server.inFlight() / Math.max(1, server.record().slots());
		cost += server.isWarmingUp(now) ? WARMUP_COST : 0;
		cost += server.hasShed(now) ? SHED_COST : 0;
		return cost + (server.isUnreachable(now) ? UNREACHABLE_COST : 0);
	}

	// Returns a sample of the Gumbel distribution: the lowest of costs with such noise
	// is a sample of the softmax distribution.
	private double gumbelNoise() {
		return -Math.log(-Math.log(Math.max(Double.MIN_NORMAL, this.random.nextDouble())));
	}

}
