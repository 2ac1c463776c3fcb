package org.wigeonmast.bench.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Collects figures over seeds and prints the median and the worst one.
 * <p>
 * Thread safety: none. Invariant: a negative figure stands for a run that did not end in
 * time and counts as worst.
 */
final class Figures {

	private final Map<String, List<Double>> values = new LinkedHashMap<>();

	private final Map<String, Double> targets = new LinkedHashMap<>();

	void add(String name, double value) {
		this.values.computeIfAbsent(name, (key) -> new ArrayList<>())
			.add((value < 0) ? Double.POSITIVE_INFINITY : value);
	}

	void add(String name, double value, double target) {
		add(name, value);
		this.targets.put(name, target);
	}

	double median(String name) {
		List<Double> sorted = this.values.getOrDefault(name, List.of(Double.NaN)).stream().sorted().toList();
		return sorted.get(sorted.size() / 2);
	}

	/**
	 * Prints all figures.
	 * @param out where to print
	 * @return whether the worst figure of each met its target
	 */
	boolean print(PrintStream out) {
		boolean met = true;
		for (Map.Entry<String, List<Double>> entry : this.values.entrySet()) {
			List<Double> sorted = entry.getValue().stream().sorted().toList();
			Double target = this.targets.get(entry.getKey());
			boolean missed = target != null && sorted.getLast() > target;
			met &= !missed;
			out.println(String.format(Locale.ROOT, "%-52s median %10.2f worst %10.2f over %3d%s", entry.getKey(),
					sorted.get(sorted.size() / 2), sorted.getLast(), sorted.size(),
					(target != null) ? " target " + target + ((missed) ? " MISSED" : "") : ""));
		}
		return met;
	}

}
