package org.wigeonmast.manifest.follow;

/**
 * Times and bounds of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable. All times are in milliseconds.
 *
 * @param watchWait the time that a watch waits at the store
 * @param storeTimeout the time after which a store call without an answer counts as
 * failed, on top of the wait of a watch
 * @param storeRetry the time between calls to a store that fails
 * @param requestTimeout the time after which a request to a peer is repeated at another
 * @param queryInterval the time between questions to members that have not answered
 * @param secondReaderDelay the time for which the second reader of a region leaves the
 * first one to fetch from outside the region
 * @param memberDelay the same for daemons that do not read the store
 * @param fanOut the number of peers to which an accepted version is announced at once
 * @param requestWindow the number of parts that are requested at once
 * @param maximumContent the greatest size in bytes of an index or a part
 * @param maximumParts the greatest number of parts
 */
public record FollowSettings(long watchWait, long storeTimeout, long storeRetry, long requestTimeout,
		long queryInterval, long secondReaderDelay, long memberDelay, int fanOut, int requestWindow, int maximumContent,
		int maximumParts) {

	/**
	 * Standard of {@link #watchWait()}, which is also the time until a silent store is
	 * noticed.
	 */
	public static final long STANDARD_WATCH_WAIT = 3000;

	private static final int ONE_MEGABYTE = 1 << 20;

	/**
	 * Returns the settings for a fleet of any size.
	 * @return the settings
	 */
	public static FollowSettings standard() {
		return new FollowSettings(STANDARD_WATCH_WAIT, 1000, 1000, 500, 300, 1000, 2000, 3, 8, ONE_MEGABYTE, 10_000);
	}

	/**
	 * Returns these settings with another wait of watches.
	 * @param wait the time that a watch waits at the store
	 * @return the settings
	 */
	public FollowSettings withWatchWait(long wait) {
		return new FollowSettings(wait, this.storeTimeout, this.storeRetry, this.requestTimeout, this.queryInterval,
				this.secondReaderDelay, this.memberDelay, this.fanOut, this.requestWindow, this.maximumContent,
				this.maximumParts);
	}

}
