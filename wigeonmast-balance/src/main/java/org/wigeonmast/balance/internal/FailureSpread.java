package org.wigeonmast.balance.internal;

/**
 * Decision how many of a service's requests are spread evenly over its servers. It
 * answers the load of a service of which a tenth or more of the requests fail: suspicion
 * that no request renews then says little, and the servers that are not preferred must
 * stay in use. While fewer fail, spreading only exposes more requests to servers in a
 * failure episode.
 * <p>
 * Thread safety: stateless.
 */
final class FailureSpread {

	/** Share of failed requests at which the spread must have begun. */
	private static final double MAX_FAILURE_SHARE = 0.1;

	/**
	 * Number of standard deviations by which the threshold lies below that share, because
	 * the share of a few requests varies by chance.
	 */
	private static final double STANDARD_DEVIATIONS = 1;

	/** Number of recent failures below which their share says little. */
	private static final int MIN_FAILURES = 4;

	/** Requests per second that each server receives of the requests that are spread. */
	private static final double REQUESTS_PER_SECOND = 1;

	private static final double MS_PER_SECOND = 1000;

	private FailureSpread() {
	}

	/**
	 * Returns the share of requests that are spread.
	 * @param failures the number of failures within {@link RecentFailures#WINDOW_MS}
	 * @param requestsPerSecond the requests per second of the service, of all daemons
	 * @param servers the number of its servers
	 * @return the share, from 0 to 1
	 */
	static double share(int failures, double requestsPerSecond, int servers) {
		double requests = requestsPerSecond * RecentFailures.WINDOW_MS / MS_PER_SECOND;
		if (failures < MIN_FAILURES || failures <= threshold(requests)) {
			return 0;
		}
		return Math.min(1, servers * REQUESTS_PER_SECOND / requestsPerSecond);
	}

	// Returns the number of failures that requests may have without a spread.
	private static double threshold(double requests) {
		double standardDeviation = Math.sqrt(requests * MAX_FAILURE_SHARE * (1 - MAX_FAILURE_SHARE));
		return requests * MAX_FAILURE_SHARE - STANDARD_DEVIATIONS * standardDeviation;
	}

}
