package org.wigeonmast.settings;

/**
 * The bounds on what one daemon holds and sends.
 * <p>
 * Thread safety: immutable.
 *
 * @param headSize the greatest size in bytes of a caller's request line and headers
 * @param replayBodySize the greatest size in bytes of a request body that is held in
 * memory so that it can be sent again
 * @param callerConnections the greatest number of connections of callers
 * @param headTimeout the time in milliseconds in which a caller must send a request head
 * @param bodyTimeout the time in milliseconds that a body may stand still
 * @param idleTimeout the time in milliseconds after which an unused connection is closed
 * @param auditEntries the number of audit entries that are kept
 * @param regionLinkRate the capacity in bytes per second of the link to other regions
 * @param regionLinkShare the share of that link, 0 to 1, for work sent to other regions
 */
public record LimitSettings(int headSize, int replayBodySize, int callerConnections, long headTimeout, long bodyTimeout,
		long idleTimeout, int auditEntries, long regionLinkRate, double regionLinkShare) {

	/**
	 * Returns the limits of a settings file that states none.
	 * @return the defaults
	 */
	public static LimitSettings defaults() {
		return new LimitSettings(16 * 1024, 64 * 1024, 4_000, 10_000, 30_000, 60_000, 4_096, 30_000_000 / 8, 0.5);
	}

}
