package org.wigeonmast.manifest;

import java.util.Collection;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.internal.ManifestContent;

/**
 * A manifest in memory with lookup tables for routes and callers.
 * <p>
 * Thread safety: immutable.
 */
public final class InMemoryManifest implements Manifest {

	private final long version;

	private final String hash;

	private final ManifestContent content;

	/**
	 * Creates a manifest from entries that are consistent with each other.
	 * @param version the version
	 * @param hash the SHA-256 of the index
	 * @param services the services
	 * @param routes the routes, each to one of the services
	 * @param callers the rate limits of callers
	 * @param daemons the maximum number of daemons by failure domain
	 */
	public InMemoryManifest(long version, String hash, Collection<Service> services, Collection<Route> routes,
			Collection<CallerLimit> callers, Map<FailureDomain, Integer> daemons) {
		this(version, hash, ManifestContent.of(services, routes, callers, daemons));
	}

	InMemoryManifest(long version, String hash, ManifestContent content) {
		this.version = version;
		this.hash = hash;
		this.content = content;
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
		return this.content.services().values();
	}

	@Override
	public @Nullable Service service(ServiceName name) {
		return this.content.services().get(name);
	}

	@Override
	public @Nullable Route route(String method, String path) {
		return this.content.routes().find(method, path);
	}

	@Override
	public long callerLimit(CallerId caller) {
		return this.content.callers().limit(caller);
	}

	@Override
	public Map<FailureDomain, Integer> daemons() {
		return this.content.daemons();
	}

}
