package org.wigeonmast.bench.fleet;

import java.util.function.BiConsumer;

import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.membership.Member;

/**
 * Measures the time until all live daemons of a region rank the next owner first after
 * the owner of a service failed.
 * <p>
 * Thread safety: none.
 */
final class OwnerScenario {

	private static final long LIMIT = 60;

	private static final ServiceName SERVICE = new ServiceName("rota-board");

	private OwnerScenario() {
	}

	static void run(int daemons, long seed, Figures figures) {
		measure(daemons, seed, "death", figures, (fleet, owner) -> owner.kill());
		measure(daemons, seed, "pause", figures, (fleet, owner) -> owner.pause());
		measure(daemons, seed, "planned stop", figures, (fleet, owner) -> owner.announceLeaving());
		measure(daemons, seed, "nothing from the owner arrives", figures,
				(fleet, owner) -> fleet.network().setCutCondition((from, to) -> from.equals(owner.address())));
		measure(daemons, seed, "nothing to the owner arrives", figures,
				(fleet, owner) -> fleet.network().setCutCondition((from, to) -> to.equals(owner.address())));
	}

	private static void measure(int daemons, long seed, String fault, Figures figures,
			BiConsumer<SimulatedFleet, SimulatedDaemon> cause) {
		SimulatedFleet fleet = new SimulatedFleet(FleetShape.of(daemons), seed, 2, 1024);
		fleet.startAll(120);
		fleet.runFor(5000);
		Region region = fleet.shape().storeRegion();
		Member owner = fleet.daemons().getFirst().ownership().rankedMembers(SERVICE, region).getFirst();
		Member next = fleet.daemons().getFirst().ownership().rankedMembers(SERVICE, region).get(1);
		SimulatedDaemon failing = fleet.daemons()
			.stream()
			.filter((daemon) -> daemon.member().id().equals(owner.id()))
			.findFirst()
			.orElseThrow();
		cause.accept(fleet, failing);
		figures.add(daemons + " daemons: new owner after " + fault + ", ms",
				fleet.runUntil((running) -> running.daemons()
					.stream()
					.filter((daemon) -> daemon != failing && daemon.member().region().equals(region))
					.allMatch((daemon) -> {
						Member first = daemon.ownership().owner(SERVICE, region);
						return first != null && first.id().equals(next.id());
					}), LIMIT));
	}

}
