package org.wigeonmast.bench.detection;

import java.util.function.Consumer;

import org.wigeonmast.testing.EventQueue;

/**
 * One run with a fault after a time of healthy traffic.
 * <p>
 * Thread safety: none.
 */
final class DetectionRun {

	/** Result when the server was not ejected. */
	static final long NEVER = 120_000;

	private static final int FAULTY = 0;

	private static final long STEP = 10;

	/** Requests per server before the fault. */
	private static final double WARM_UP_REQUESTS = 600;

	private static final double HALF = 0.5;

	private final long seed;

	private final Setup setup;

	private final Fault fault;

	private final EventQueue queue = new EventQueue();

	private final long start;

	DetectionRun(long seed, double rate, Fault fault) {
		this.seed = seed;
		this.setup = Setup.of(seed, rate);
		this.fault = fault;
		// The fault starts at any time within the period of the timers.
		this.start = (long) (WARM_UP_REQUESTS / rate * 1000) + seed * 37 % 1000;
	}

	/**
	 * Returns the time until all daemons follow the ejection.
	 * @return the time in milliseconds from the start of the fault
	 */
	long monitor() {
		return detect(new MonitorPolicy(this.queue, this.setup), 1);
	}

	/**
	 * Returns the time until half of the daemons have ejected the server.
	 * @return the time in milliseconds from the start of the fault
	 */
	long baseline() {
		return detect(new BaselinePolicy(this.setup), HALF);
	}

	private long detect(Policy policy, double share) {
		ServiceSimulation simulation = simulate(policy);
		for (long time = 0; time < NEVER; time += STEP) {
			simulation.runUntil(this.start + time);
			if (policy.ejectedShare(this.start + time, FAULTY) >= share) {
				return time;
			}
		}
		return NEVER;
	}

	/**
	 * Returns the number of ejections in a time from the start of the fault.
	 * @param time the time in milliseconds
	 * @param log takes the audit entries as text
	 * @return the number
	 */
	long ejectionsDuring(long time, Consumer<String> log) {
		MonitorPolicy policy = new MonitorPolicy(this.queue, this.setup);
		ServiceSimulation simulation = simulate(policy);
		simulation.runUntil(this.start);
		policy.log((entry) -> log.accept(this.seed + " " + this.setup.name() + " " + this.start + " " + entry));
		double before = policy.ejections();
		simulation.runUntil(this.start + time);
		return (long) (policy.ejections() - before);
	}

	/**
	 * Returns the greatest number of daemons that avoided the server at once.
	 * @param time the time in milliseconds from the start of the fault
	 * @return the number
	 */
	long pathAvoiders(long time) {
		MonitorPolicy policy = new MonitorPolicy(this.queue, this.setup);
		ServiceSimulation simulation = simulate(policy);
		int greatest = 0;
		for (long now = 0; now < time; now += 1_000) {
			simulation.runUntil(this.start + now);
			greatest = Math.max(greatest, policy.pathAvoiders(FAULTY));
		}
		return greatest;
	}

	private ServiceSimulation simulate(Policy policy) {
		return new ServiceSimulation(this.queue, this.seed, this.setup, this.fault, this.start, policy);
	}

}
