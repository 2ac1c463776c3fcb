package org.wigeonmast.settings;

/**
 * The limits on the memory, connections, time and bandwidth that a daemon uses.
 * <p>
 * Thread safety: immutable.
 *
 * @param headSize the maximum size in bytes of a caller's request line and headers
 * @param replayBodySize the maximum size in bytes of a request body that is buffered so
 * that the request can be retried
 * @param callerConnections the maximum number of caller connections
 * @param headTimeout the time in milliseconds in which a caller must send a request head
 * @param bodyTimeout the time in milliseconds for which a body transfer may make no
 * progress
 * @param idleTimeout the time in milliseconds after which an idle connection is closed
 * @param auditEntries the number of audit entries that are kept
 * @param regionLinkRate the capacity in bytes per second of the link to other regions
 * @param regionLinkShare the fraction of that link, 0 to 1, that requests sent to other
 * regions may use
 */
public record LimitSettings(int headSize, int replayBodySize, int callerConnections, long headTimeout, long bodyTimeout,
		long idleTimeout, int auditEntries, long regionLinkRate, double regionLinkShare) {

	/**
	 * Returns the limits that apply when a settings file sets none.
	 * @return the default limits
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(16 * 1024, 64 * 1024, 4_000, 10_000, 30_000, 60_000, 4_096, 30_000_000 / 8, 0.5);
	}

}
