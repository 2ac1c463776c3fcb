package org.wigeonmast.manifest;

/**
 * The operators' limits and targets for the requests of a route.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name of the route
 * @param maxTimeout the upper limit in milliseconds for the timeout of a request, also if
 * the caller asks for more
 * @param targetLatency the time in milliseconds up to which a response has its full value
 * for the caller
 * @param maxServers the maximum number of backend servers to which one request is sent
 * @param priority the priority, 0 for the most urgent
 */
public record RoutePolicy(String name, long maxTimeout, long targetLatency, int maxServers, int priority) {

	private static final int DEFAULT_MAX_SERVERS = 3;

	/** The policy of a route for which none is configured. */
	public static final RoutePolicy NONE = new RoutePolicy("", Long.MAX_VALUE, Long.MAX_VALUE, DEFAULT_MAX_SERVERS, 0);

}
