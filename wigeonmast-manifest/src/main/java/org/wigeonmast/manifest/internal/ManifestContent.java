package org.wigeonmast.manifest.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.CallerLimit;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;

/**
 * The content of a manifest as lookup tables.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemons the maximum number of daemons by failure domain, without failure domains
 * that have none
 * @param services the services by name
 * @param routes the routes
 * @param callers the rate limits of callers
 */
public record ManifestContent(Map<FailureDomain, Integer> daemons, Map<ServiceName, Service> services,
		RouteTable routes, CallerTable callers) {

	/**
	 * Builds the tables from entries that are consistent with each other.
	 * @param services the services
	 * @param routes the routes
	 * @param callers the rate limits of callers
	 * @param daemons the maximum number of daemons by failure domain
	 * @return the content
	 */
	public static ManifestContent of(Collection<Service> services, Collection<Route> routes,
			Collection<CallerLimit> callers, Map<FailureDomain, Integer> daemons) {
		Map<ServiceName, Service> byName = LinkedHashMap.newLinkedHashMap(services.size());
		services.forEach((service) -> byName.put(service.name(), service));
		RouteTable routeTable = new RouteTable(routes.size());
		routes.forEach(routeTable::insert);
		return new ManifestContent(Collections.unmodifiableMap(new LinkedHashMap<>(daemons)),
				Collections.unmodifiableMap(byName), routeTable, callerTable(callers));
	}

	private static CallerTable callerTable(Collection<CallerLimit> callers) {
		List<PackedCallerLimits> blocks = new ArrayList<>();
		for (CallerLimit limit : callers) {
			if (blocks.isEmpty() || blocks.getLast().count() == CallerTable.MAX_LIMITS_PER_PART) {
				blocks.add(new PackedCallerLimits());
			}
			blocks.getLast().add(limit.caller().value(), Math.clamp(limit.requestsPerSecond(), 0, Integer.MAX_VALUE));
		}
		CallerTable table = new CallerTable(blocks);
		for (int i = 0; i < blocks.size(); i++) {
			for (int j = 0; j < blocks.get(i).count(); j++) {
				table.insert(i, j);
			}
		}
		return table;
	}

}
