package org.wigeonmast.manifest;

import org.wigeonmast.core.ServiceName;

/**
 * A route from a method and a path prefix to a service.
 * <p>
 * Thread safety: immutable.
 *
 * @param method the HTTP method, or {@code *} for every method
 * @param pathPrefix the path prefix, which matches whole segments
 * @param service the service
 * @param workClass the class of its requests
 * @param idempotent whether running a request twice has the effect of running it once
 * @param timeout the time in milliseconds for a whole request when the caller states none
 * @param plan what the operators want of its requests
 */
public record Route(String method, String pathPrefix, ServiceName service, WorkClass workClass, boolean idempotent,
		long timeout, RoutePlan plan) {

	/**
	 * Creates a route without a plan.
	 * @param method the HTTP method, or {@code *} for every method
	 * @param pathPrefix the path prefix
	 * @param service the service
	 * @param workClass the class of its requests
	 * @param idempotent whether a request may run twice
	 * @param timeout the time in milliseconds for a whole request when the caller states
	 * none
	 */
	public Route(String method, String pathPrefix, ServiceName service, WorkClass workClass, boolean idempotent,
			long timeout) {
		this(method, pathPrefix, service, workClass, idempotent, timeout, RoutePlan.NONE);
	}

}
