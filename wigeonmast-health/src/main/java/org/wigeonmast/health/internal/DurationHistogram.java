package org.wigeonmast.health.internal;

import java.util.Arrays;

/**
 * Histogram of durations in logarithmic buckets with decaying counts.
 * <p>
 * Thread safety: none. Invariant: {@link #countBelow(int)} is between 0 and the total.
 */
final class DurationHistogram {

	/**
	 * Ratio of the starts of adjacent buckets; with 80 buckets the last one starts at
	 * about half an hour.
	 */
	private static final double BUCKET_RATIO = 1.2;

	private static final int BUCKETS = 80;

	private static final double LOG_BUCKET_RATIO = Math.log(BUCKET_RATIO);

	/** Buckets of the durations below 256 ms, which need no logarithm. */
	private static final int[] SHORT_DURATION_BUCKETS = new int[256];

	static {
		for (int duration = 1; duration < SHORT_DURATION_BUCKETS.length; duration++) {
			SHORT_DURATION_BUCKETS[duration] = (int) (Math.log(duration) / LOG_BUCKET_RATIO);
		}
	}

	private final float[] counts = new float[BUCKETS];

	/** Number of durations below the middle of each bucket. */
	private final float[] countBelow = new float[BUCKETS];

	private float total;

	/**
	 * Returns the bucket of a duration.
	 * @param duration the duration in milliseconds
	 * @return the index of the bucket
	 */
	static int bucketOf(long duration) {
		if (duration < SHORT_DURATION_BUCKETS.length) {
			return SHORT_DURATION_BUCKETS[(int) Math.max(0, duration)];
		}
		return (int) Math.min(BUCKETS - 1, Math.log(duration) / LOG_BUCKET_RATIO);
	}

	/**
	 * Returns the shortest duration of a bucket.
	 * @param bucket the index of the bucket
	 * @return the duration in milliseconds
	 */
	static double bucketStart(int bucket) {
		return Math.pow(BUCKET_RATIO, bucket);
	}

	void add(long duration) {
		this.counts[bucketOf(duration)]++;
	}

	void decay(float factor) {
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			this.counts[bucket] *= factor;
		}
	}

	/** Recomputes the cumulative counts. */
	void updateCumulativeCounts() {
		float sum = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			this.countBelow[bucket] = sum + this.counts[bucket] / 2;
			sum += this.counts[bucket];
		}
		this.total = sum;
	}

	/**
	 * Sets the cumulative counts of this histogram to the sums of those of others.
	 * @param others the histograms
	 */
	void setToSumOf(Iterable<DurationHistogram> others) {
		Arrays.fill(this.countBelow, 0);
		this.total = 0;
		for (DurationHistogram other : others) {
			for (int bucket = 0; bucket < BUCKETS; bucket++) {
				this.countBelow[bucket] += other.countBelow[bucket];
			}
			this.total += other.total;
		}
	}

	float countBelow(int bucket) {
		return this.countBelow[bucket];
	}

	float total() {
		return this.total;
	}

	/**
	 * Returns a quantile.
	 * @param share the share of durations that are shorter, from 0 to 1
	 * @return the start of the bucket that contains the quantile, in milliseconds
	 */
	double quantile(double share) {
		int bucket = 0;
		while (bucket < BUCKETS - 1 && this.countBelow[bucket] < share * this.total) {
			bucket++;
		}
		return bucketStart(bucket);
	}

	/** Removes all durations. */
	void clear() {
		Arrays.fill(this.counts, 0);
		updateCumulativeCounts();
	}

}
