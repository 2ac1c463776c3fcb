package org.wigeonmast.bench.path;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;

/**
 * Rounds that send load directly and through the proxy in turn.
 * <p>
 * Thread safety: none; one thread runs it.
 */
final class PathRounds {

	private static final double TARGET_P99_MILLISECONDS = 1.6;

	private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);

	private static final int TARGET_COLUMN = 1;

	/** Share of the rounds that are taken for undisturbed by other load. */
	private static final double QUIET_SHARE = 0.25;

	private static final double SLICE_SECONDS = 0.5;

	private static final double WARM_UP_RATE = 500;

	private static final double MICROSECONDS_PER_MILLISECOND = 1000;

	private final PrintStream out;

	private final OpenLoop direct;

	private final OpenLoop proxied;

	PathRounds(PrintStream out, OpenLoop direct, OpenLoop proxied) {
		this.out = out;
		this.direct = direct;
		this.proxied = proxied;
	}

	/**
	 * Sends load without measuring.
	 * @param random the random numbers for the arrivals
	 * @param seconds the duration of each way
	 */
	void warmUp(RandomGenerator random, double seconds) {
		round(random, WARM_UP_RATE, seconds);
	}

	/**
	 * Measures and prints one rate.
	 * @param random the random numbers for the arrivals
	 * @param rate the number of requests per second
	 * @param rounds the number of rounds
	 * @param seconds the duration of each way in each round
	 * @return whether the median of the rounds met the target
	 */
	boolean run(RandomGenerator random, double rate, int rounds, double seconds) {
		List<List<Double>> directs = new ArrayList<>();
		List<List<Double>> added = new ArrayList<>();
		ThreadUsage usage = new ThreadUsage(0, 0);
		long count = 0;
		long failures = 0;
		for (int i = 0; i < rounds; i++) {
			usage = usage.plus(round(random, rate, seconds));
			count += this.proxied.latencies().getTotalCount();
			failures += this.proxied.failures() + this.direct.failures();
			directs.add(PERCENTILES.stream().map((percentile) -> at(this.direct, percentile)).toList());
			added.add(PERCENTILES.stream()
				.map((percentile) -> at(this.proxied, percentile) - at(this.direct, percentile))
				.toList());
		}
		this.out.printf("%.0f requests/s, %d rounds, %d requests each way, %d failed, load average %.1f%n", rate,
				rounds, count, failures, ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
		for (int i = 0; i < PERCENTILES.size(); i++) {
			this.out.printf("  p%-5s direct %.3f ms, added %.3f ms in the median round, %.3f to %.3f ms%n",
					PERCENTILES.get(i), rank(directs, i, 0.5), rank(added, i, 0.5), rank(added, i, 0),
					rank(added, i, 1));
		}
		this.out.printf(
				"  p99 added %.3f ms in the median of the %d rounds with the lowest direct p99 (at most %.3f ms)%n",
				quietRounds(directs, added), quietCount(rounds), rank(directs, TARGET_COLUMN, QUIET_SHARE));
		usage.print(this.out, count);
		boolean met = failures == 0 && rank(added, TARGET_COLUMN, 0.5) <= TARGET_P99_MILLISECONDS;
		this.out.printf("  target: p99 added at most %.1f ms in the median round: %s%n", TARGET_P99_MILLISECONDS,
				met ? "met" : "missed");
		return met;
	}

	private ThreadUsage round(RandomGenerator random, double rate, double seconds) {
		this.direct.reset();
		this.proxied.reset();
		ThreadUsage usage = new ThreadUsage(0, 0);
		// Both ways take turns in short slices, so that other load on the machine
		// disturbs both.
		for (double passed = 0; passed < seconds; passed += SLICE_SECONDS) {
			this.direct.run(random, rate, SLICE_SECONDS);
			ThreadUsage before = ThreadUsage.read();
			this.proxied.run(random, rate, SLICE_SECONDS);
			usage = usage.plus(ThreadUsage.read().since(before));
		}
		return usage;
	}

	private static int quietCount(int rounds) {
		return (int) Math.round(QUIET_SHARE * (rounds - 1)) + 1;
	}

	private static double quietRounds(List<List<Double>> directs, List<List<Double>> added) {
		List<List<Double>> quiet = IntStream.range(0, directs.size())
			.boxed()
			.sorted(Comparator.comparingDouble((round) -> directs.get(round).get(TARGET_COLUMN)))
			.limit(quietCount(directs.size()))
			.map(added::get)
			.toList();
		return rank(quiet, TARGET_COLUMN, 0.5);
	}

	private static double rank(List<List<Double>> rounds, int column, double rank) {
		List<Double> sorted = rounds.stream().map((round) -> round.get(column)).sorted().toList();
		return sorted.get((int) Math.round(rank * (sorted.size() - 1)));
	}

	private static double at(OpenLoop load, double percentile) {
		Histogram latencies = load.latencies();
		return latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
	}

}
