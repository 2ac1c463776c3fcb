package org.wigeonmast.bench.fleet;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wigeonmast.bench.Bench;

/**
 * Measures the control traffic of a whole fleet.
 * <p>
 * Thread safety: none. Options: {@code --seeds N}, {@code --sizes N,N},
 * {@code --scenarios change,cost,owner,detection}.
 */
public final class FleetBench implements Bench {

	private static final String SEEDS = "seeds";

	private static final String SIZES = "sizes";

	private static final String SCENARIOS = "scenarios";

	@Override
	public String name() {
		return "fleet";
	}

	@Override
	public String description() {
		return "membership, ownership and manifest distribution of a whole fleet in virtual time";
	}

	@Override
	public int run(String[] arguments) throws ParseException {
		Options options = new Options().addOption(null, SEEDS, true, "number of seeds")
			.addOption(null, SIZES, true, "numbers of daemons, separated by commas")
			.addOption(null, SCENARIOS, true, "change, cost, owner or detection, separated by commas");
		CommandLine line = new DefaultParser().parse(options, arguments);
		int seeds = Integer.parseInt(line.getOptionValue(SEEDS, "1"));
		List<Integer> sizes = new ArrayList<>();
		for (String size : line.getOptionValue(SIZES, "12,36,100,300,1000").split(",")) {
			sizes.add(Integer.parseInt(size));
		}
		boolean met = true;
		for (String scenario : line.getOptionValue(SCENARIOS, "change,cost,owner,detection").split(",")) {
			met &= run(scenario, sizes, seeds);
		}
		System.out.println((met) ? "all targets met" : "targets missed");
		return (met) ? 0 : 1;
	}

	private static boolean run(String scenario, List<Integer> sizes, int seeds) throws ParseException {
		Figures figures = new Figures();
		for (int size : sizes) {
			for (int seed = 1; seed <= seeds; seed++) {
				switch (scenario) {
					case "change" -> ChangeScenario.run(size, seed, figures);
					case "cost" -> CostScenario.run(size, seed, figures);
					case "owner" -> OwnerScenario.run(size, seed, figures);
					case "detection" -> DetectionScenario.run(size, seed, figures);
					default -> throw new ParseException("There is no scenario named " + scenario);
				}
			}
		}
		boolean met = figures.print(System.out);
		return (scenario.equals("cost") && sizes.size() > 1) ? met & CostScenario.extrapolate(sizes, figures) : met;
	}

}
