package org.wigeonmast.manifest;

import java.util.Collection;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;

/**
 * A manifest that has been validated as a whole.
 * <p>
 * Thread safety: implementations are immutable.
 */
public interface Manifest {

	/**
	 * Returns the version.
	 * @return the version, greater than 0
	 */
	long version();

	/**
	 * Returns the SHA-256 of the index.
	 * @return the hash in lower-case hexadecimal
	 */
	String hash();

	/**
	 * Returns all services.
	 * @return the services
	 */
	Collection<Service> services();

	/**
	 * Returns a service.
	 * @param name the name
	 * @return the service, or {@code null} if the manifest has none of that name
	 */
	@Nullable Service service(ServiceName name);

	/**
	 * Returns the route with the longest matching path prefix. Among routes with the same
	 * prefix, one for the given method takes precedence over one for any method.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return the route, or {@code null} if none matches
	 */
	@Nullable Route route(String method, String path);

	/**
	 * Returns the rate limit of a caller.
	 * @param caller the caller
	 * @return the requests per second across the fleet, or 0 for no limit
	 */
	long callerLimit(CallerId caller);

	/**
	 * Returns the maximum number of daemons in each failure domain.
	 * @return the maximum numbers by failure domain
	 */
	Map<FailureDomain, Integer> daemons();

}
