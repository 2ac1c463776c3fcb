package org.wigeonmast.bench.fleet;

import org.wigeonmast.bench.Bench;

/**
 * Measures the control traffic of a whole fleet.
 * <p>
 * Thread safety: none.
 */
public final class FleetBench implements Bench {

	@Override
	public String name() {
		return "fleet";
	}

	@Override
	public String description() {
		return "membership, ownership and manifest distribution of a whole fleet in virtual time";
	}

	@Override
	public int run(String[] arguments) {
		for (int n : new int[] { 12, 36, 100, 300, 1000 }) {
			long wall = System.currentTimeMillis();
			SimulatedFleet fleet = new SimulatedFleet(FleetShape.of(n), 1, 4, 4000);
			long started = fleet.startAll(120);
			fleet.runFor(20_000);
			fleet.publish();
			long v = fleet.manifests().version();
			long took = fleet
				.runUntil((f) -> f.daemons().stream().allMatch((d) -> d.follower().inForce().version() == v), 60);
			System.out.println(n + " start " + started + " change " + took + " wall "
					+ (System.currentTimeMillis() - wall) + " calls " + fleet.store().calls());
		}
		return 0;
	}

}
