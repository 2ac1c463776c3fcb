package org.wigeonmast.manifest.internal;

import java.util.List;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;

/**
 * The entries of one part, checked one by one but not against each other.
 * <p>
 * Thread safety: immutable. Invariant: a value that was wrong is replaced by an empty or
 * the least one, and its error has been reported.
 *
 * @param name the name of the part
 * @param domains the failure domains
 * @param services the services with their backend servers
 * @param routes the routes
 * @param callers the limits of callers
 */
record ParsedPart(String name, List<Domain> domains, List<Service> services, List<Route> routes, CallerLimits callers) {

	ParsedPart {
		domains = List.copyOf(domains);
		services = List.copyOf(services);
		routes = List.copyOf(routes);
	}

	/**
	 * A failure domain.
	 *
	 * @param domain the failure domain
	 * @param daemons the greatest number of daemons that run there
	 */
	record Domain(FailureDomain domain, int daemons) {
	}

}
