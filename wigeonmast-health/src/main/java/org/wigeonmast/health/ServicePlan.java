package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;

/**
 * The part of a manifest that ejection and its permits depend on, for one service.
 * <p>
 * Thread safety: immutable. Invariants: the domains are sorted by name, so that every
 * daemon assigns the same permits to the same domains; the number of permits is the
 * number of backend servers above the floor.
 *
 * @param service the service
 * @param servers all backend servers of the service, in the order of the manifest
 * @param floor the number of backend servers that ejections must leave in service
 * @param domains the failure domains that run daemons, with the maximum number of daemons
 * in each
 */
public record ServicePlan(ServiceName service, List<Server> servers, int floor, List<Domain> domains) {

	/**
	 * Creates a plan.
	 */
	public ServicePlan {
		servers = List.copyOf(servers);
		domains = List.copyOf(domains);
	}

	/**
	 * Extracts the plan of a service from a manifest.
	 * @param manifest the manifest
	 * @param service the service
	 * @return the plan
	 */
	public static ServicePlan of(Manifest manifest, Service service) {
		List<Server> servers = new ArrayList<>();
		for (BackendServer server : service.servers()) {
			servers.add(new Server(server.id(), server.failureDomain().region(), server.slots()));
		}
		return new ServicePlan(service.name(), servers, service.floor(), sortedDomains(manifest.daemons()));
	}

	/**
	 * Returns the failure domains that run daemons.
	 * @param daemons the maximum number of daemons by failure domain
	 * @return the domains with at least one daemon, sorted by name
	 */
	public static List<Domain> sortedDomains(Map<FailureDomain, Integer> daemons) {
		return daemons.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map((entry) -> new Domain(entry.getKey(), entry.getValue()))
			.sorted(Comparator.comparing((domain) -> domain.name().toString()))
			.toList();
	}

	/**
	 * Returns the number of permits.
	 * @return the maximum number of backend servers that may be ejected at the same time
	 */
	public int permitCount() {
		return this.domains.isEmpty() ? 0 : Math.max(0, this.servers.size() - this.floor);
	}

	/**
	 * Returns the failure domain whose daemons promise a permit.
	 * @param permit the number of the permit, 0 to {@link #permitCount()} - 1
	 * @return the domain
	 */
	public Domain permitDomain(int permit) {
		return this.domains.get(permit % this.domains.size());
	}

	/**
	 * A backend server.
	 *
	 * @param id the identifier
	 * @param region the region
	 * @param slots the number of requests that it processes concurrently
	 */
	public record Server(BackendServerId id, Region region, int slots) {
	}

	/**
	 * A failure domain that runs daemons.
	 *
	 * @param name the name
	 * @param maxDaemons the maximum number of daemons that run there at the same time
	 */
	public record Domain(FailureDomain name, int maxDaemons) {

		/**
		 * Returns the number of promises that are needed to hold a permit.
		 * @return the smallest majority of the maximum number of daemons
		 */
		public int majority() {
			return this.maxDaemons / 2 + 1;
		}

	}

}
