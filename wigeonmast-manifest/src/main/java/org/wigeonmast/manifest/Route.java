package org.wigeonmast.manifest;

import org.wigeonmast.core.ServiceName;

/**
 * A route from a method and a path prefix to a service.
 * <p>
 * Thread safety: immutable.
 *
 * @param method the HTTP method, or {@code *} for any method
 * @param pathPrefix the path prefix, which matches whole path segments
 * @param service the service
 * @param workClass the work class of its requests
 * @param idempotent whether processing a request twice has the same effect as processing
 * it once
 * @param timeout the time limit in milliseconds for a whole request if the caller sets
 * none
 * @param policy the operators' limits and targets for its requests
 */
public record Route(String method, String pathPrefix, ServiceName service, WorkClass workClass, boolean idempotent,
		long timeout, RoutePolicy policy) {

	/**
	 * Creates a route with the default policy {@link RoutePolicy#NONE}.
	 * @param method the HTTP method, or {@code *} for any method
	 * @param pathPrefix the path prefix
	 * @param service the service
	 * @param workClass the work class of its requests
	 * @param idempotent whether a request may be processed twice
	 * @param timeout the time limit in milliseconds for a whole request if the caller
	 * sets none
	 */
	public Route(String method, String pathPrefix, ServiceName service, WorkClass workClass, boolean idempotent,
			long timeout) {
		this(method, pathPrefix, service, workClass, idempotent, timeout, RoutePolicy.NONE);
	}

}
