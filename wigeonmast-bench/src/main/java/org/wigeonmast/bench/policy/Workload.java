package org.wigeonmast.bench.policy;

import java.util.Random;

import org.wigeonmast.core.RequestId;
import org.wigeonmast.manifest.WorkClass;

/**
 * Poisson arrivals of short and long work with heavy-tailed durations.
 * <p>
 * Thread safety: none. Invariant: the requests depend on scenario and seed only, so each
 * policy gets the same ones.
 */
final class Workload {

	static final int DAEMONS = 36;

	private static final int CALLERS = 40;

	private static final double SHORT_SIGMA = 1;

	private static final double LONG_SIGMA = 0.5;

	private static final double IDEMPOTENT_SHARE = 0.7;

	private final Scenario scenario;

	private final Random random;

	private long time;

	private int count;

	Workload(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
	}

	// At the end it returns a request whose arrival is after the scenario's end.
	SimulatedRequest next() {
		double shortRate = this.scenario.loadAt(this.time) * this.scenario.totalSlots() / Scenario.SHORT_MEAN;
		double longRate = this.scenario.longLoad() * this.scenario.totalSlots() / Scenario.LONG_MEAN;
		double rate = shortRate + longRate;
		// Steps of at most 50 ms follow the ramp of the surge closely.
		double gap = -Math.log(1 - this.random.nextDouble()) / rate;
		while (gap > 50_000) {
			this.time += 50_000;
			gap -= 50_000;
		}
		this.time += Math.max(1, Math.round(gap));
		boolean longWork = this.random.nextDouble() * rate < longRate;
		double mean = longWork ? Scenario.LONG_MEAN : Scenario.SHORT_MEAN;
		double sigma = longWork ? LONG_SIGMA : SHORT_SIGMA;
		double duration = mean * Math.exp(sigma * this.random.nextGaussian() - sigma * sigma / 2);
		return new SimulatedRequest(new RequestId("r" + this.count++), this.time, this.random.nextInt(DAEMONS),
				this.random.nextInt(CALLERS), longWork ? WorkClass.LONG : WorkClass.SHORT,
				Math.max(500, Math.round(duration)), this.random.nextDouble() < IDEMPOTENT_SHARE);
	}

}
