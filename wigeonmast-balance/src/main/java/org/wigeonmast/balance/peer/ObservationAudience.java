package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * Decision which peers receive an observation of a backend server at once. It answers the
 * load of a large fleet, in which sending each failure to each daemon costs more
 * datagrams than there are requests. The other peers learn of a suspected server from
 * heartbeats.
 * <p>
 * Thread safety: stateless. Invariant: the peers of the reporter's and of the server's
 * failure domain, which use the server most, are always included.
 */
public final class ObservationAudience {

	/** Number of receivers up to which further failure domains are included. */
	static final int MAX_RECEIVERS = 40;

	// Distances of a failure domain from an observation.

	private static final int NEAREST = 0;

	private static final int SAME_REGION = 1;

	private static final int SERVERS_REGION = 2;

	private static final int OTHER_REGION = 3;

	private ObservationAudience() {
	}

	/**
	 * Selects the receivers of an observation.
	 * @param home the failure domain of the reporter
	 * @param serverDomain the failure domain of the server
	 * @param peers the live peers
	 * @return the addresses of the receivers
	 */
	public static List<HostAddress> select(FailureDomain home, FailureDomain serverDomain, Collection<Peer> peers) {
		Map<FailureDomain, List<HostAddress>> byDomain = peers.stream()
			.collect(
					Collectors.groupingBy(Peer::failureDomain, Collectors.mapping(Peer::address, Collectors.toList())));
		List<HostAddress> receivers = new ArrayList<>();
		byDomain.keySet()
			.stream()
			.filter((domain) -> distance(domain, home, serverDomain) < OTHER_REGION)
			.sorted(Comparator.comparingInt((FailureDomain domain) -> distance(domain, home, serverDomain))
				.thenComparing(FailureDomain::name))
			.forEach((domain) -> {
				List<HostAddress> members = byDomain.get(domain);
				if (distance(domain, home, serverDomain) == NEAREST
						|| receivers.size() + members.size() <= MAX_RECEIVERS) {
					receivers.addAll(members);
				}
			});
		return receivers;
	}

	private static int distance(FailureDomain domain, FailureDomain home, FailureDomain serverDomain) {
		if (domain.equals(home) || domain.equals(serverDomain)) {
			return NEAREST;
		}
		if (domain.region().equals(home.region())) {
			return SAME_REGION;
		}
		return domain.region().equals(serverDomain.region()) ? SERVERS_REGION : OTHER_REGION;
	}

}
