package org.wigeonmast.manifest;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.internal.CallerTable;
import org.wigeonmast.manifest.internal.RouteTable;

/**
 * A manifest in memory with tables for routes and callers.
 * <p>
 * Thread safety: immutable.
 */
public final class InMemoryManifest implements Manifest {

	private final long version;

	private final String hash;

	private final Map<ServiceName, Service> services;

	private final RouteTable routes;

	private final CallerTable callers;

	private final Map<FailureDomain, Integer> daemons;

	/**
	 * Creates a manifest from parts that fit together.
	 * @param version the version
	 * @param hash the SHA-256 of the index
	 * @param services the services
	 * @param routes the routes, each to one of the services
	 * @param callers the limits of callers
	 * @param daemons the greatest number of daemons by failure domain
	 */
	public InMemoryManifest(long version, String hash, Collection<Service> services, Collection<Route> routes,
			Collection<CallerLimit> callers, Map<FailureDomain, Integer> daemons) {
		this.version = version;
		this.hash = hash;
		Map<ServiceName, Service> byName = LinkedHashMap.newLinkedHashMap(services.size());
		services.forEach((service) -> byName.put(service.name(), service));
		this.services = Collections.unmodifiableMap(byName);
		this.routes = new RouteTable(routes);
		this.callers = new CallerTable(callers);
		this.daemons = Collections.unmodifiableMap(new LinkedHashMap<>(daemons));
	}

	@Override
	public long version() {
		return this.version;
	}

	@Override
	public String hash() {
		return this.hash;
	}

	@Override
	public Collection<Service> services() {
		return this.services.values();
	}

	@Override
	public @Nullable Service service(ServiceName name) {
		return this.services.get(name);
	}

	@Override
	public @Nullable Route route(String method, String path) {
		return this.routes.find(method, path);
	}

	@Override
	public long callerLimit(CallerId caller) {
		return this.callers.limit(caller);
	}

	@Override
	public Map<FailureDomain, Integer> daemons() {
		return this.daemons;
	}

}
