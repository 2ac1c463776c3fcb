package org.wigeonmast.dispatch.internal;

import org.wigeonmast.dispatch.DispatchMode;

/**
 * Estimator of the utilization of a region's slots, which also selects the dispatch mode
 * with hysteresis.
 * <p>
 * Thread safety: none. Invariant: the mode changes to direct only after the estimate was
 * below {@link #LOW_UTILIZATION} for {@link #MIN_LOW_DURATION_MS} without a queue or a
 * server that shed a request.
 */
public final class UtilizationEstimator {

	/** Utilization below which direct dispatch is allowed. */
	public static final double LOW_UTILIZATION = 0.4;

	/** Utilization above which grants are required. */
	public static final double HIGH_UTILIZATION = 0.6;

	/**
	 * Time in milliseconds for which the utilization must be low before direct dispatch
	 * is allowed.
	 */
	public static final long MIN_LOW_DURATION_MS = 1000;

	private static final long WINDOW_MS = 200;

	private static final double SMOOTHING_FACTOR = 0.25;

	private DispatchMode mode = DispatchMode.GRANTED;

	private double estimate = HIGH_UTILIZATION;

	private double busySlotMs;

	private int heldGrants;

	private long integratedUntilMs;

	private long windowStartMs;

	private long lowSinceMs;

	/**
	 * Creates an estimator that requires grants until the utilization was low for
	 * {@link #MIN_LOW_DURATION_MS}.
	 * @param now the current monotonic time in milliseconds
	 */
	public UtilizationEstimator(long now) {
		this.integratedUntilMs = now;
		this.windowStartMs = now;
		this.lowSinceMs = now;
	}

	/**
	 * Returns the dispatch mode for short work.
	 * @return the mode
	 */
	public DispatchMode mode() {
		return this.mode;
	}

	/**
	 * Returns the estimated utilization.
	 * @return the share of slots in use; above 1 while directly dispatched requests queue
	 * at servers
	 */
	public double estimate() {
		return this.estimate;
	}

	/**
	 * Adjusts the number of granted slots in use.
	 * @param now the current monotonic time in milliseconds
	 * @param change 1 or -1
	 */
	public void adjustGrants(long now, int change) {
		integrate(now);
		this.heldGrants += change;
	}

	/**
	 * Adds the duration of an attempt that ended without a grant.
	 * @param durationMs the duration in milliseconds
	 */
	public void addDirectDuration(long durationMs) {
		this.busySlotMs += durationMs;
	}

	/**
	 * Records that a queue formed or that a server shed a request, and requires grants at
	 * once.
	 * @param now the current monotonic time in milliseconds
	 */
	public void recordCongestion(long now) {
		this.mode = DispatchMode.GRANTED;
		this.lowSinceMs = now;
	}

	/**
	 * Updates the estimate and the mode if a window has passed.
	 * @param now the current monotonic time in milliseconds
	 * @param slots the number of usable slots
	 */
	public void update(long now, int slots) {
		long lengthMs = now - this.windowStartMs;
		if (lengthMs < WINDOW_MS) {
			return;
		}
		integrate(now);
		double sample = this.busySlotMs / (lengthMs * (double) Math.max(1, slots));
		// An interval without updates counts as the windows that it spans.
		double retainedShare = Math.pow(1 - SMOOTHING_FACTOR, Math.max(1, lengthMs / (double) WINDOW_MS));
		this.estimate = retainedShare * this.estimate + (1 - retainedShare) * sample;
		this.busySlotMs = 0;
		this.windowStartMs = now;
		if (this.estimate >= LOW_UTILIZATION) {
			this.lowSinceMs = now;
		}
		if (this.estimate > HIGH_UTILIZATION) {
			this.mode = DispatchMode.GRANTED;
		}
		else if (now - this.lowSinceMs >= MIN_LOW_DURATION_MS) {
			this.mode = DispatchMode.DIRECT;
		}
	}

	private void integrate(long now) {
		this.busySlotMs += this.heldGrants * (double) (now - this.integratedUntilMs);
		this.integratedUntilMs = now;
	}

}
