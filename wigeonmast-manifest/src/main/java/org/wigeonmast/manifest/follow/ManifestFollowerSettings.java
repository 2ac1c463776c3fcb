package org.wigeonmast.manifest.follow;

/**
 * Timeouts, delays and limits of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable. All times are in milliseconds.
 *
 * @param watchWait the time for which the store holds a watch open
 * @param storeTimeout the time after which a store call without a reply counts as failed,
 * in addition to the wait time of a watch
 * @param storeRetryDelay the mean delay before the next call after a failed one
 * @param requestTimeout the time after which an unanswered request to a peer is sent to
 * another source
 * @param queryInterval the initial interval between queries to members that have not
 * replied
 * @param secondReaderDelay the time for which the second store reader of a region lets
 * the first one fetch a version from outside the region
 * @param nonReaderDelay the same for daemons that are not store readers
 * @param fanOut the number of peers in the region to which an accepted version is
 * announced
 * @param requestWindow the maximum number of concurrent part requests
 * @param maxContentBytes the maximum size in bytes of an index or a part
 * @param maxParts the maximum number of parts of a manifest
 */
public record ManifestFollowerSettings(long watchWait, long storeTimeout, long storeRetryDelay, long requestTimeout,
		long queryInterval, long secondReaderDelay, long nonReaderDelay, int fanOut, int requestWindow,
		int maxContentBytes, int maxParts) {

	/**
	 * Default of {@link #watchWait()}, which also bounds the time until an unresponsive
	 * store is detected.
	 */
	public static final long DEFAULT_WATCH_WAIT_MS = 3000;

	private static final int ONE_MEBIBYTE = 1 << 20;

	/**
	 * Returns the default settings, which suit a fleet of any size.
	 * @return the settings
	 */
	public static ManifestFollowerSettings defaults() {
		return new ManifestFollowerSettings(DEFAULT_WATCH_WAIT_MS, 1000, 1000, 500, 300, 1000, 2000, 3, 8, ONE_MEBIBYTE,
				10_000);
	}

	/**
	 * Returns these settings with another wait time for watches.
	 * @param watchWait the time in milliseconds for which the store holds a watch open
	 * @return the settings
	 */
	public ManifestFollowerSettings withWatchWait(long watchWait) {
		return new ManifestFollowerSettings(watchWait, this.storeTimeout, this.storeRetryDelay, this.requestTimeout,
				this.queryInterval, this.secondReaderDelay, this.nonReaderDelay, this.fanOut, this.requestWindow,
				this.maxContentBytes, this.maxParts);
	}

}
