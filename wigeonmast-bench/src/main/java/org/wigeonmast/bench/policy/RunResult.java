package org.wigeonmast.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;
import org.wigeonmast.manifest.WorkClass;

/**
 * The figures of one run.
 * <p>
 * Thread safety: none.
 */
final class RunResult {

	private static final int DIGITS = 3;

	private static final long HIGHEST = 60_000_000;

	private static final long WORK_WINDOW = 5 * Scenario.SECOND;

	final Histogram shortLatency = new Histogram(HIGHEST, DIGITS);

	final Histogram longLatency = new Histogram(HIGHEST, DIGITS);

	/** Time from acceptance to the first attempt of short work. */
	final Histogram addedLatency = new Histogram(HIGHEST, DIGITS);

	final Histogram beforeSurge = new Histogram(HIGHEST, DIGITS);

	final Histogram afterSurge = new Histogram(HIGHEST, DIGITS);

	/** Answers of short work within the deadline, as slot time by window. */
	final double[] workInTime = new double[64];

	long arrivals;

	long longArrivals;

	long answeredInTime;

	long longAnswered;

	long refused;

	long refusedLate;

	long unknown;

	long messages;

	List<String> violations = new ArrayList<>();

	private final Scenario scenario;

	RunResult(Scenario scenario) {
		this.scenario = scenario;
	}

	void answered(SimulatedRequest request, long now) {
		long latency = now - request.arrival();
		if (request.workClass() == WorkClass.LONG) {
			this.longLatency.recordValue(Math.min(HIGHEST, latency));
			this.longAnswered++;
			return;
		}
		this.shortLatency.recordValue(Math.min(HIGHEST, latency));
		if (latency <= Scenario.SHORT_DEADLINE * 1000) {
			this.answeredInTime++;
			int window = (int) (now / WORK_WINDOW);
			if (window < this.workInTime.length) {
				this.workInTime[window] += request.duration();
			}
		}
		if (request.arrival() < Scenario.SURGE_START) {
			this.beforeSurge.recordValue(Math.min(HIGHEST, latency));
		}
		else if (request.arrival() > Scenario.SURGE_END + Scenario.SURGE_RAMP + 5 * Scenario.SECOND) {
			this.afterSurge.recordValue(Math.min(HIGHEST, latency));
		}
	}

	// The least share of the healthy capacity that was spent on answers within the
	// deadline, over all windows of 5 s inside the surge.
	double leastGoodput() {
		double least = Double.MAX_VALUE;
		int first = (int) ((Scenario.SURGE_START + Scenario.SURGE_RAMP + WORK_WINDOW - 1) / WORK_WINDOW);
		int last = (int) (Scenario.SURGE_END / WORK_WINDOW) - 1;
		for (int window = first; window <= last; window++) {
			least = Math.min(least, this.workInTime[window] / (this.scenario.healthySlots() * (double) WORK_WINDOW));
		}
		return least;
	}

	double lateRefusalShare() {
		return this.refusedLate / (double) Math.max(1, this.refused);
	}

	double latencyAfterSurge() {
		return this.afterSurge.getValueAtPercentile(95)
				/ (double) Math.max(1, this.beforeSurge.getValueAtPercentile(95));
	}

	double inTimeShare() {
		return this.answeredInTime / (double) Math.max(1, this.arrivals);
	}

	double longAnsweredShare() {
		return this.longAnswered / (double) Math.max(1, this.longArrivals);
	}

}
