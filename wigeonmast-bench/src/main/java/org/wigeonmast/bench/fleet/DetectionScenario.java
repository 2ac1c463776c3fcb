package org.wigeonmast.bench.fleet;

/**
 * Measures wrong deaths under loss and the detection of a dead daemon.
 * <p>
 * Thread safety: none.
 */
final class DetectionScenario {

	private static final double LOSS = 0.1;

	private static final long DURATION = 120_000;

	private static final long LIMIT = 60;

	private DetectionScenario() {
	}

	static void run(int daemons, long seed, Figures figures) {
		String prefix = daemons + " daemons: ";
		SimulatedFleet fleet = new SimulatedFleet(FleetShape.of(daemons), seed, 2, 1024);
		fleet.startAll(120);
		fleet.runFor(5000);
		fleet.network().setLoss(LOSS);
		long before = deaths(fleet);
		fleet.runFor(DURATION);
		figures.add(prefix + "wrong deaths in 120 s with 10 % loss", deaths(fleet) - before, 0);
		SimulatedDaemon victim = fleet.daemons().get(fleet.random().nextInt(daemons));
		victim.kill();
		long first = fleet.runUntil(
				(running) -> running.daemons()
					.stream()
					.anyMatch((daemon) -> daemon != victim && !daemon.membership().isLive(victim.member().name())),
				LIMIT);
		long rest = fleet.runUntil(
				(running) -> running.daemons()
					.stream()
					.allMatch((daemon) -> daemon == victim || !daemon.membership().isLive(victim.member().name())),
				LIMIT);
		figures.add(prefix + "death known to one with 10 % loss, ms", first);
		figures.add(prefix + "death known to all with 10 % loss, ms", (rest < 0) ? rest : first + rest);
	}

	private static long deaths(SimulatedFleet fleet) {
		return fleet.daemons().stream().mapToLong(SimulatedDaemon::deathsReported).sum();
	}

}
