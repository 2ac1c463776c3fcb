package org.wigeonmast.membership;

/**
 * Timing parameters and bounds of the {@link MembershipList}.
 * <p>
 * Thread safety: immutable. All times are in milliseconds.
 *
 * @param probeInterval the time between two probes
 * @param directTimeout the time after which an unanswered ping is repeated and relays are
 * asked to ping the member too; shorter than the probe interval
 * @param relayCount the number of relays that are asked to ping
 * @param suspicionTimeout the time from a failed probe until the member is declared dead
 * @param isolationTimeout the time without any answer after which members that do not
 * answer count as unreachable in this daemon's own view
 * @param gossipInterval the time for which changes are collected before they are pushed
 * @param gossipFanout the number of members to which changes are pushed
 * @param updatesPerMessage the maximum number of records piggybacked on a message
 * @param reconnectInterval the time between attempts to reach dead members and seeds
 * @param syncInterval the mean time between requests for records that differ
 * @param syncPageSize the maximum number of records in a page
 * @param joinRetryInterval the time between requests to seeds while joining
 * @param joinTimeout the time after which the daemon stops trying to join
 * @param pauseThreshold the lateness of a timer above which the daemon counts as paused
 * @param deadRetention the time for which the record of a dead member is kept
 * @param maximumMembers the maximum number of members, dead ones included
 */
public record MembershipSettings(long probeInterval, long directTimeout, int relayCount, long suspicionTimeout,
		long isolationTimeout, long gossipInterval, int gossipFanout, int updatesPerMessage, long reconnectInterval,
		long syncInterval, int syncPageSize, long joinRetryInterval, long joinTimeout, long pauseThreshold,
		long deadRetention, int maximumMembers) {

	/**
	 * Returns the default settings, which suit fleets of any size.
	 * @return the settings
	 */
	public static MembershipSettings standard() {
		return new MembershipSettings(1000, 300, 3, 3000, 10_000, 100, 3, 8, 2000, 30_000, 256, 500, 5000, 2000,
				900_000, 20_000);
	}

}
