package org.wigeonmast.dispatch.internal;

import org.wigeonmast.dispatch.DispatchMode;

/**
 * Estimator of the utilization of a region's slots, which also selects the dispatch mode
 * with hysteresis.
 * <p>
 * Thread safety: none. Invariant: the mode changes to direct only after the estimate was
 * below {@link #LOW} for {@link #LOW_FOR} without a queue or a server that shed a
 * request.
 */
public final class UtilizationEstimator {

	/** Utilization below which direct dispatch is allowed. */
	public static final double LOW = 0.4;

	/** Utilization above which grants are required. */
	public static final double HIGH = 0.6;

	/**
	 * Time in milliseconds for which the utilization must be low before direct dispatch
	 * is allowed.
	 */
	public static final long LOW_FOR = 1000;

	private static final long WINDOW = 200;

	private static final double SMOOTHING = 0.25;

	private DispatchMode mode = DispatchMode.GRANTED;

	private double estimate = HIGH;

	private double busy;

	private int heldGrants;

	private long integratedTo;

	private long windowStart;

	private long lowSince;

	/**
	 * Creates an estimator that requires grants until the utilization was low for
	 * {@link #LOW_FOR}.
	 * @param now the current monotonic time in milliseconds
	 */
	public UtilizationEstimator(long now) {
		this.integratedTo = now;
		this.windowStart = now;
		this.lowSince = now;
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
	public void countGrant(long now, int change) {
		integrate(now);
		this.heldGrants += change;
	}

	/**
	 * Adds the duration of an attempt that ended without a grant.
	 * @param duration the duration in milliseconds
	 */
	public void addDirect(long duration) {
		this.busy += duration;
	}

	/**
	 * Records that a queue formed or that a server shed a request, and requires grants at
	 * once.
	 * @param now the current monotonic time in milliseconds
	 */
	public void congested(long now) {
		this.mode = DispatchMode.GRANTED;
		this.lowSince = now;
	}

	/**
	 * Updates the estimate and the mode if a window has passed.
	 * @param now the current monotonic time in milliseconds
	 * @param slots the number of usable slots
	 */
	public void update(long now, int slots) {
		long length = now - this.windowStart;
		if (length < WINDOW) {
			return;
		}
		integrate(now);
		double sample = this.busy / (length * (double) Math.max(1, slots));
		// An interval without updates counts as the windows that it spans.
		double kept = Math.pow(1 - SMOOTHING, Math.max(1, length / (double) WINDOW));
		this.estimate = kept * this.estimate + (1 - kept) * sample;
		this.busy = 0;
		this.windowStart = now;
		if (this.estimate >= LOW) {
			this.lowSince = now;
		}
		if (this.estimate > HIGH) {
			this.mode = DispatchMode.GRANTED;
		}
		else if (now - this.lowSince >= LOW_FOR) {
			this.mode = DispatchMode.DIRECT;
		}
	}

	private void integrate(long now) {
		this.busy += this.heldGrants * (double) (now - this.integratedTo);
		this.integratedTo = now;
	}

}
