package org.wigeonmast.manifest.follow;

/**
 * Timeouts, delays and limits of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable. All times are in milliseconds.
 *
 * @param watchWait the time for which the store holds a watch open
 * @param storeTimeout the time after which a store call without a reply counts as failed,
 * in addition to the wait time of a watch
 * @param storeRetry the mean delay before the next call after a failed one
 * @param requestTimeout the time after which an unanswered request to a peer is sent to
 * another source
 * @param queryInterval the initial interval between queries to members that have not
 * replied
 * @param secondReaderDelay the time for which the second store reader of a region lets
 * the first one fetch a version from outside the region
 * @param memberDelay the same for daemons that are not store readers
 * @param fanOut the number of peers in the region to which an accepted version is
 * announced
 * @param requestWindow the maximum number of concurrent part requests
 * @param maximumContent the maximum size in bytes of an index or a part
 * @param maximumParts the maximum number of parts of a manifest
 */
public record ManifestFollowerSettings(long watchWait, long storeTimeout, long storeRetry, long requestTimeout,
		long queryInterval, long secondReaderDelay, long memberDelay, int fanOut, int requestWindow, int maximumContent,
		int maximumParts) {

	/**
	 * Default of {@link #watchWait()}, which also bounds the time until an unresponsive
	 * store is detected.
	 */
	public static final long STANDARD_WATCH_WAIT = 3000;

	private static final int ONE_MEGABYTE = 1 << 20;

	/**
	 * Returns the default settings, which suit a fleet of any size.
	 * @return the settings
	 */
	public static ManifestFollowerSettings standard() {
		return new ManifestFollowerSettings(STANDARD_WATCH_WAIT, 1000, 1000, 500, 300, 1000, 2000, 3, 8, ONE_MEGABYTE,
				10_000);
	}

	/**
	 * Returns these settings with another wait time for watches.
	 * @param wait the time in milliseconds for which the store holds a watch open
	 * @return the settings
	 */
	public ManifestFollowerSettings withWatchWait(long wait) {
		return new ManifestFollowerSettings(wait, this.storeTimeout, this.storeRetry, this.requestTimeout,
				this.queryInterval, this.secondReaderDelay, this.memberDelay, this.fanOut, this.requestWindow,
				this.maximumContent, this.maximumParts);
	}

}
