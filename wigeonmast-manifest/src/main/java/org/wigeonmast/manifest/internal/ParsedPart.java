package org.wigeonmast.manifest.internal;

import java.util.List;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;

/**
 * The entries of one part, validated individually but not for consistency.
 * <p>
 * Thread safety: immutable. Invariant: an invalid value has been reported as an error and
 * replaced by an empty value or the minimum.
 *
 * @param name the name of the part
 * @param domains the failure domains
 * @param services the services with their backend servers
 * @param routes the routes
 * @param callers the rate limits of callers
 */
record ParsedPart(String name, List<Domain> domains, List<Service> services, List<Route> routes,
		PackedCallerLimits callers) {

	ParsedPart {
		domains = List.copyOf(domains);
		services = List.copyOf(services);
		routes = List.copyOf(routes);
	}

	/**
	 * The entry for a failure domain.
	 *
	 * @param domain the failure domain
	 * @param daemons the maximum number of daemons in the failure domain
	 */
	record Domain(FailureDomain domain, int daemons) {
	}

}
