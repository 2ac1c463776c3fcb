package org.wigeonmast.manifest;

import java.util.List;

import org.wigeonmast.core.ServiceName;

/**
 * A service: a group of backend servers that can each process any of its requests.
 * <p>
 * Thread safety: immutable. Invariant: the floor is at least 0 and at most the number of
 * servers.
 *
 * @param name the name
 * @param servers the backend servers, in the order of the manifest
 * @param floor the number of backend servers that ejections must leave in service
 * @param longShare the maximum share of a region's slots that long-running requests may
 * hold, from 0 to 1
 * @param requestsPerSecond the rate limit of the service across the fleet, 0 for none
 * @param keyLifetime the time in milliseconds after which callers no longer repeat an
 * idempotency key
 */
public record Service(ServiceName name, List<BackendServer> servers, int floor, double longShare,
		long requestsPerSecond, long keyLifetime) {

	/** Default of {@link #keyLifetime()}. */
	public static final long DEFAULT_KEY_LIFETIME_MS = 60_000;

	/**
	 * Creates a service.
	 */
	public Service {
		servers = List.copyOf(servers);
	}

}
