package org.wigeonmast.bench.fleet;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Region;

/**
 * Measures the time until a manifest change is in force on all daemons.
 * <p>
 * Thread safety: none.
 */
final class ChangeScenario {

	private static final double TARGET = 8000;

	private static final long LIMIT = 60;

	private static final int PARTS = 4;

	private static final int PART_SIZE = 4096;

	private static final double LOSS = 0.1;

	private ChangeScenario() {
	}

	static void run(int daemons, long seed, Figures figures) {
		SimulatedFleet fleet = new SimulatedFleet(FleetShape.of(daemons), seed, PARTS, PART_SIZE);
		String prefix = daemons + " daemons: ";
		figures.add(prefix + "start of all, ms", fleet.startAll(120));
		fleet.runFor(10_000);
		fleet.publish();
		figures.add(prefix + "change, ms", timeUntilInForce(fleet, null), TARGET);
		fleet.network().setLoss(LOSS);
		fleet.runFor(5000);
		fleet.publish();
		figures.add(prefix + "change with 10 % loss, ms", timeUntilInForce(fleet, null), TARGET);
		fleet.network().setLoss(0);
		fleet.runFor(10_000);
		cut(fleet, prefix, figures);
		fleet.runFor(60_000);
		fleet.setOnApplied((daemon) -> fleet.store().setAway(true));
		fleet.manifests().change();
		fleet.store().publishToOne();
		figures.add(prefix + "change read by one reader only, ms", timeUntilInForce(fleet, null), TARGET);
	}

	private static void cut(SimulatedFleet fleet, String prefix, Figures figures) {
		Region region = fleet.shape().lastRegion();
		fleet.cutRegion(region);
		fleet.runFor(20_000);
		fleet.publish();
		long reached = timeUntilInForce(fleet, region);
		figures.add(prefix + "change while a region is cut off, ms", reached, TARGET);
		fleet.runFor(Math.max(0, 40_000 - reached));
		fleet.heal();
		figures.add(prefix + "change after healing, ms", timeUntilInForce(fleet, null), TARGET);
		int known = fleet.daemons().size();
		figures.add(prefix + "all members known again after healing, ms", fleet.runUntil(
				(healed) -> healed.daemons().stream().allMatch((daemon) -> daemon.membership().liveCount() == known),
				300));
	}

	private static long timeUntilInForce(SimulatedFleet fleet, @Nullable Region except) {
		long version = fleet.manifests().version();
		return fleet.runUntil((running) -> running.daemons()
			.stream()
			.allMatch((daemon) -> daemon.follower().versionInForce().version() == version
					|| daemon.member().region().equals(except)),
				LIMIT);
	}

}
