package org.wigeonmast.bench.detection;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.wigeonmast.bench.Bench;
import org.wigeonmast.testing.EventQueue;

/**
 * Measures how fast unhealthy servers are ejected and how often healthy ones are.
 * <p>
 * Thread safety: none; it runs its simulations on at most four threads.
 */
public final class DetectionBench implements Bench {

	private static final List<String> PARTS = List.of("detection", "common", "cut", "healthy");

	private static final int THREADS = 4;

	private static final double HIGH_RATE = 20;

	private static final double LOW_RATE = 2;

	/** Time limit in milliseconds of 99 of 100 runs for the targets. */
	private static final long DETECTION_TARGET = 2_000;

	private static final double DETECTED_SHARE = 0.99;

	/** Wrong ejections per server-hour. */
	private static final double WRONG_TARGET = 1.0 / 10_000;

	private static final long MILLISECONDS_PER_HOUR = 3_600_000;

	private static final long SIMULATED_HOURS = 2;

	private final PrintStream output = System.out;

	private boolean evidence;

	private final List<String> missed = new ArrayList<>();

	@Override
	public String name() {
		return "detection";
	}

	@Override
	public String description() {
		return "detection time and wrong ejections [--seeds N] [--hours SERVER_HOURS] [--skip-baseline] [--only detection|common|cut|healthy] [--evidence]";
	}

	@Override
	public int run(String[] arguments) throws Exception {
		Options options = new Options().addOption(null, "seeds", true, "runs of each fault, 100 by default")
			.addOption(null, "hours", true, "healthy server-hours, 20000 by default")
			.addOption(null, "only", true, "one of detection, common, cut, healthy")
			.addOption(null, "evidence", false, "print the audit entries of healthy traffic")
			.addOption(null, "skip-baseline", false, "leave out the baseline");
		CommandLine line = new DefaultParser().parse(options, arguments);
		int seeds = Integer.parseInt(line.getOptionValue("seeds", "100"));
		double hours = Double.parseDouble(line.getOptionValue("hours", "20000"));
		this.evidence = line.hasOption("evidence");
		try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
			Runs runs = new Runs(executor, seeds);
			boolean baseline = !line.hasOption("skip-baseline");
			List<String> parts = line.hasOption("only") ? List.of(line.getOptionValue("only")) : PARTS;
			for (String part : parts) {
				switch (part) {
					case "detection" -> detection(runs, baseline);
					case "common" -> commonFaults(runs);
					case "cut" -> cut(runs);
					case "healthy" -> healthy(runs, hours, baseline);
					default -> throw new IllegalArgumentException("There is no part " + part + " of this bench");
				}
			}
		}
		this.missed.forEach((target) -> this.output.println("MISSED: " + target));
		return this.missed.isEmpty() ? 0 : 1;
	}

	private void detection(Runs runs, boolean baseline) throws Exception {
		List<Fault> faults = List.of(Fault.slow(10), Fault.failing(0.5), Fault.slow(3), Fault.failing(0.1),
				Fault.silence(), Fault.flapping(1_000), Fault.flapping(5_000), Fault.flapping(15_000),
				Fault.flapping(60_000));
		this.output.println("detection time in ms until all daemons (baseline: half of them) follow the ejection");
		for (double rate : new double[] { HIGH_RATE, LOW_RATE }) {
			for (Fault fault : faults) {
				long[] times = runs.all((seed) -> new DetectionRun(seed, rate, fault).monitor());
				print("monitor", rate, fault, times);
				if (rate == HIGH_RATE && (fault.equals(Fault.slow(10)) || fault.equals(Fault.failing(0.5)))) {
					requireFast(fault, times);
				}
				if (baseline) {
					print("baseline", rate, fault, runs.all((seed) -> new DetectionRun(seed, rate, fault).baseline()));
				}
			}
		}
	}

	private void requireFast(Fault fault, long[] times) {
		long fast = Arrays.stream(times).filter((time) -> time <= DETECTION_TARGET).count();
		double share = (double) fast / times.length;
		if (share < DETECTED_SHARE) {
			this.missed.add(String.format(Locale.ROOT, "%s: %.1f %% within %d ms instead of %.0f %%", fault.name(),
					100 * share, DETECTION_TARGET, 100 * DETECTED_SHARE));
		}
	}

	private void print(String policy, double rate, Fault fault, long[] times) {
		Arrays.sort(times);
		long fast = Arrays.stream(times).filter((time) -> time <= DETECTION_TARGET).count();
		this.output.printf(Locale.ROOT, "%-9s %4.0f/s  %-32s median %6s  p99 %6s  worst %6s  within 2 s %5.1f %%%n",
				policy, rate, fault.name(), time(times[times.length / 2]),
				time(times[(int) Math.min(times.length - 1, Math.floor(DETECTED_SHARE * times.length))]),
				time(times[times.length - 1]), 100.0 * fast / times.length);
	}

	private static String time(long milliseconds) {
		return (milliseconds == DetectionRun.NEVER) ? "none" : Long.toString(milliseconds);
	}

	private Consumer<String> log() {
		return this.evidence ? this.output::println : (text) -> {
		};
	}

	private void commonFaults(Runs runs) throws Exception {
		this.output.println("ejections while all servers slow down together, for 2 minutes");
		for (Fault fault : List.of(Fault.allSlow(3, 0), Fault.allSlow(10, 0), Fault.allSlow(3, 60_000),
				Fault.allSlow(10, 60_000))) {
			for (double rate : new double[] { HIGH_RATE, LOW_RATE }) {
				long[] counts = runs.all((seed) -> new DetectionRun(seed, rate, fault).ejectionsDuring(120_000, log()));
				long total = Arrays.stream(counts).sum();
				this.output.printf(Locale.ROOT, "monitor   %4.0f/s  %-32s ejections %d in %d runs%n", rate,
						fault.name(), total, counts.length);
				if (total > 0) {
					this.missed.add(fault.name() + " at " + rate + "/s: " + total + " ejections instead of 0");
				}
			}
		}
	}

	private void cut(Runs runs) throws Exception {
		Fault fault = Fault.cut(1.0 / 3);
		for (double rate : new double[] { HIGH_RATE, LOW_RATE }) {
			long[] counts = runs.all((seed) -> new DetectionRun(seed, rate, fault).ejectionsDuring(60_000, log()));
			long[] avoiders = runs.all((seed) -> new DetectionRun(seed, rate, fault).pathAvoiders(60_000));
			long total = Arrays.stream(counts).sum();
			Arrays.sort(avoiders);
			this.output.printf(Locale.ROOT,
					"monitor   %4.0f/s  %-32s ejections %d in %d runs; of 12 daemons cut off, at some time avoiding: median %d, least %d%n",
					rate, fault.name(), total, counts.length, avoiders[avoiders.length / 2], avoiders[0]);
			if (total > 0) {
				this.missed.add(fault.name() + " at " + rate + "/s: " + total + " ejections instead of 0");
			}
		}
	}

	private void healthy(Runs runs, double hours, boolean baseline) throws Exception {
		double total = 0;
		double wrong = 0;
		for (double rate : new double[] { HIGH_RATE, LOW_RATE }) {
			double[] figures = healthy(runs, hours / 2, (seed) -> new HealthyRun(seed, rate, this.evidence).monitor());
			this.output.printf(Locale.ROOT, "monitor   %4.0f/s  healthy: %.0f wrong ejections in %.0f server-hours%n",
					rate, figures[0], figures[1]);
			wrong += figures[0];
			total += figures[1];
			if (baseline) {
				double[] other = healthy(runs, hours / 100, (seed) -> new HealthyRun(seed, rate, false).baseline());
				this.output.printf(Locale.ROOT,
						"baseline  %4.0f/s  healthy: %.1f wrong ejections (in shares of the daemons) in %.0f server-hours%n",
						rate, other[0], other[1]);
			}
		}
		double limit = WRONG_TARGET * total;
		if (wrong >= Math.max(1, limit)) {
			this.missed.add(String.format(Locale.ROOT,
					"%.0f wrong ejections in %.0f server-hours instead of fewer than %.1f", wrong, total, limit));
		}
	}

	private double[] healthy(Runs runs, double hours, LongFunction<double[]> run) throws Exception {
		double[] sum = new double[2];
		long seed = 0;
		List<Future<double[]>> futures = new ArrayList<>();
		double planned = 0;
		while (planned < hours) {
			long number = seed++;
			planned += Setup.of(number, HIGH_RATE).servers() * SIMULATED_HOURS;
			futures.add(runs.executor.submit(() -> run.apply(number)));
		}
		for (Future<double[]> future : futures) {
			sum[0] += future.get()[0];
			sum[1] += future.get()[1];
		}
		return sum;
	}

	/** Healthy traffic for some hours. */
	private record HealthyRun(long seed, double rate, boolean evidence) {

		private double[] monitor() {
			EventQueue queue = new EventQueue();
			Setup setup = Setup.of(this.seed, this.rate);
			MonitorPolicy policy = new MonitorPolicy(queue, setup);
			if (this.evidence) {
				policy.log((entry) -> System.out.println(this.seed + " " + setup.name() + " " + entry));
			}
			return run(queue, setup, policy);
		}

		private double[] baseline() {
			EventQueue queue = new EventQueue();
			Setup setup = Setup.of(this.seed, this.rate);
			return run(queue, setup, new BaselinePolicy(setup));
		}

		private double[] run(EventQueue queue, Setup setup, Policy policy) {
			ServiceSimulation simulation = new ServiceSimulation(queue, this.seed, setup, Fault.NONE, 0, policy);
			simulation.runUntil(SIMULATED_HOURS * MILLISECONDS_PER_HOUR);
			return new double[] { policy.ejections(), (double) setup.servers() * SIMULATED_HOURS };
		}

	}

	/** Runs one simulation for each seed. */
	private record Runs(ExecutorService executor, int seeds) {

		private long[] all(LongFunction<Long> run) throws Exception {
			List<Future<Long>> futures = new ArrayList<>();
			for (long seed = 0; seed < this.seeds; seed++) {
				long number = seed;
				futures.add(this.executor.submit(() -> run.apply(number)));
			}
			long[] results = new long[this.seeds];
			for (int index = 0; index < results.length; index++) {
				results[index] = futures.get(index).get();
			}
			return results;
		}

	}

}
