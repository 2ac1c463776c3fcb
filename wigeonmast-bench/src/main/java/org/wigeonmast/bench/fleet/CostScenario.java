package org.wigeonmast.bench.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Random;

import org.wigeonmast.testing.EventQueue;

/**
 * Measures what control costs a daemon while the manifest changes and daemons are
 * replaced at the rates of the design size.
 * <p>
 * Thread safety: none.
 */
final class CostScenario {

	/** Bytes per second, sent and received together. */
	static final double BYTES_TARGET = 15_000;

	/** Percent of a core. */
	static final double PROCESSOR_TARGET = 1.3;

	/** Megabytes. */
	static final double HEAP_TARGET = 64;

	private static final double STORE_TARGET = 2000;

	private static final int DESIGN_SIZE = 3000;

	private static final long DAY = 86_400_000;

	private static final long CHANGES_PER_DAY = 7300;

	private static final long REPLACEMENTS_PER_DAY = 11_000;

	/** The manifest of the design size: 45,000 servers and 44,000 routes. */
	private static final int PARTS = 350;

	private static final int PART_SIZE = 32_768;

	/**
	 * Size of the parts in the simulation, where all daemons share one heap. The size of
	 * a part matters to a daemon that starts empty only; that traffic is calculated.
	 */
	private static final int SIMULATED_PART_SIZE = 2048;

	private static final long WARM_UP = 30_000;

	private static final long DURATION = 120_000;

	private static final long LEAVING_TIME = 2000;

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private static final double MEGABYTE = 1 << 20;

	private CostScenario() {
	}

	static void run(int daemons, long seed, Figures figures) {
		long heapBefore = usedHeap();
		SimulatedFleet fleet = new SimulatedFleet(FleetShape.of(daemons), seed, PARTS, SIMULATED_PART_SIZE);
		long manifestHeap = usedHeap() - heapBefore;
		String prefix = daemons + " daemons: ";
		fleet.startAll(120);
		schedulePublishing(fleet);
		scheduleReplacement(fleet, daemons);
		fleet.setMeasuring(true);
		fleet.runFor(WARM_UP);
		fleet.traffic().reset();
		long calls = fleet.store().calls();
		fleet.runFor(DURATION);
		fleet.setMeasuring(false);
		double seconds = DURATION / 1000.0;
		double perDaemon = daemons * seconds;
		Traffic traffic = fleet.traffic();
		figures.add(prefix + "membership sent and received, B/s", 2 * traffic.membershipBytes() / perDaemon,
				BYTES_TARGET / 3);
		double downloads = downloadRate();
		figures.add(prefix + "calculated downloads of empty daemons, B/s", downloads);
		figures.add(prefix + "manifest sent and received, B/s", 2 * traffic.manifestBytes() / perDaemon + downloads,
				BYTES_TARGET / 2);
		figures.add(prefix + "to other regions, B/s sent", traffic.remoteBytes() / perDaemon);
		figures.add(prefix + "messages sent and received, 1/s", 2 * traffic.messages() / perDaemon);
		figures.add(prefix + "processor time, % of a core",
				100 * traffic.processorNanoseconds() / NANOSECONDS_PER_SECOND / perDaemon, PROCESSOR_TARGET);
		figures.add(prefix + "store calls, 1/s", (fleet.store().calls() - calls) / seconds, STORE_TARGET);
		fleet.runFor(10_000);
		double shared = usedHeap() - heapBefore - manifestHeap;
		figures.add(prefix + "heap without manifest, MB", shared / daemons / MEGABYTE);
		figures.add(prefix + "heap with one manifest, MB", shared / daemons / MEGABYTE + PARTS * PART_SIZE / MEGABYTE,
				HEAP_TARGET);
	}

	/**
	 * Calculates what the parts of the design size add to those of the simulation when
	 * daemons start empty.
	 * @return the bytes per second and daemon, sent and received together
	 */
	private static double downloadRate() {
		SyntheticManifests samples = new SyntheticManifests(new Random(1), 8, PART_SIZE);
		double compressed = samples.compressedPartSize() * PARTS;
		return 2 * compressed * REPLACEMENTS_PER_DAY * 1000 / DAY / DESIGN_SIZE;
	}

	/**
	 * Prints straight lines through the figures of all sizes.
	 * @param sizes the sizes
	 * @param figures the figures
	 * @return whether the values that they give at the design size meet the targets
	 */
	static boolean extrapolate(List<Integer> sizes, Figures figures) {
		boolean met = true;
		met &= line(sizes, figures, "membership sent and received, B/s", BYTES_TARGET / 3);
		met &= line(sizes, figures, "manifest sent and received, B/s", BYTES_TARGET / 2);
		met &= line(sizes, figures, "processor time, % of a core", PROCESSOR_TARGET);
		met &= line(sizes, figures, "heap with one manifest, MB", HEAP_TARGET);
		return met;
	}

	private static boolean line(List<Integer> sizes, Figures figures, String name, double target) {
		double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElseThrow();
		double meanValue = sizes.stream().mapToDouble((size) -> value(figures, size, name)).average().orElseThrow();
		double products = 0;
		double squares = 0;
		for (int size : sizes) {
			products += (size - meanSize) * (value(figures, size, name) - meanValue);
			squares += (size - meanSize) * (size - meanSize);
		}
		double slope = (squares > 0) ? products / squares : 0;
		double atDesignSize = meanValue + slope * (DESIGN_SIZE - meanSize);
		System.out.println(String.format(Locale.ROOT, "%-40s slope %.6f per daemon, %.2f at %d daemons, target %.2f%s",
				name, slope, atDesignSize, DESIGN_SIZE, target, (atDesignSize > target) ? " MISSED" : ""));
		return atDesignSize <= target;
	}

	private static double value(Figures figures, int size, String name) {
		return figures.median(size + " daemons: " + name);
	}

	private static void schedulePublishing(SimulatedFleet fleet) {
		fleet.queue().schedule(DAY / CHANGES_PER_DAY * EventQueue.MICROSECONDS_PER_MILLISECOND, () -> {
			fleet.publish();
			schedulePublishing(fleet);
		});
	}

	private static void scheduleReplacement(SimulatedFleet fleet, int daemons) {
		long interval = DAY / REPLACEMENTS_PER_DAY * DESIGN_SIZE / daemons * EventQueue.MICROSECONDS_PER_MILLISECOND;
		fleet.queue().schedule(interval, () -> {
			int number = fleet.random().nextInt(daemons);
			SimulatedDaemon leaving = fleet.daemons().get(number);
			leaving.announceLeaving();
			fleet.queue().schedule(LEAVING_TIME * EventQueue.MICROSECONDS_PER_MILLISECOND, () -> {
				leaving.stop();
				fleet.replace(number);
			});
			scheduleReplacement(fleet, daemons);
		});
	}

	private static long usedHeap() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
