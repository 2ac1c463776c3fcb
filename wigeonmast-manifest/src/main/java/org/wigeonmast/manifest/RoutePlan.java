package org.wigeonmast.manifest;

/**
 * What the operators want of the requests of a route.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name of the route
 * @param longest the longest time in milliseconds that a caller is kept waiting, whatever
 * time it states itself
 * @param targetLatency the time in milliseconds within which an answer has its full value
 * @param mostServers the greatest number of backend servers that one request is sent to
 * @param priority the rank, 0 for the most urgent
 */
public record RoutePlan(String name, long longest, long targetLatency, int mostServers, int priority) {

	private static final int DEFAULT_SERVERS = 3;

	/** The plan of a route that has none. */
	public static final RoutePlan NONE = new RoutePlan("", Long.MAX_VALUE, Long.MAX_VALUE, DEFAULT_SERVERS, 0);

}
