package org.wigeonmast.verification.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.wigeonmast.core.HostAddress;

/**
 * A fault of the matrix. Daemon 0 holds the request; server faults hit all servers,
 * because the choice of the server is random.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name
 * @param begin begins the fault
 */
record MatrixFault(String name, Consumer<VirtualFleet> begin) {

	private static final HostAddress ENTRY = VirtualFleet.address(0);

	private static final long FLAPPING_MICROSECONDS = 500_000;

	static List<MatrixFault> all() {
		List<MatrixFault> single = List.of(
				new MatrixFault("slow servers",
						(fleet) -> fleet.servers.forEach((server) -> server.faults().setSlowdown(10))),
				new MatrixFault("failing servers",
						(fleet) -> fleet.servers.forEach((server) -> server.faults().setFailureShare(1))),
				new MatrixFault("flapping server", (fleet) -> flap(fleet, true)),
				new MatrixFault("servers without replies",
						(fleet) -> fleet.servers.forEach((server) -> server.faults().setSilent(true))),
				new MatrixFault("server leaves", (fleet) -> fleet.servers.getFirst().leave()),
				new MatrixFault("one-way partition",
						(fleet) -> fleet.network.setCutCondition((from, to) -> from.equals(ENTRY))),
				new MatrixFault("complete partition", (fleet) -> fleet.network.setCutCondition((from, to) -> true)),
				new MatrixFault("store down", (fleet) -> fleet.store.setDown(true)),
				new MatrixFault("store stale", (fleet) -> fleet.store.setStale(true)),
				new MatrixFault("pause", (fleet) -> fleet.pause(0)),
				new MatrixFault("silent connections",
						(fleet) -> fleet.servers
							.forEach((server) -> fleet.daemons.get(0).proxy.silence(server.address))),
				new MatrixFault("crash", (fleet) -> fleet.crash(0)), new MatrixFault("owner crash", (fleet) -> {
					fleet.crash(1);
					fleet.crash(2);
				}), new MatrixFault("planned stop", (fleet) -> fleet.stop(0)),
				new MatrixFault("replaced empty", (fleet) -> {
					fleet.crash(0);
					fleet.replace(0);
				}));
		List<MatrixFault> all = new ArrayList<>(single);
		all.add(pair(single, "pause", "complete partition"));
		all.add(pair(single, "pause", "servers without replies"));
		all.add(pair(single, "planned stop", "one-way partition"));
		all.add(pair(single, "replaced empty", "store down"));
		all.add(pair(single, "replaced empty", "store stale"));
		all.add(pair(single, "owner crash", "failing servers"));
		return all;
	}

	private static MatrixFault pair(List<MatrixFault> single, String first, String second) {
		return new MatrixFault(first + " and " + second, (fleet) -> {
			named(single, first).begin.accept(fleet);
			named(single, second).begin.accept(fleet);
		});
	}

	private static MatrixFault named(List<MatrixFault> faults, String name) {
		return faults.stream().filter((fault) -> fault.name.equals(name)).findFirst().orElseThrow();
	}

	private static void flap(VirtualFleet fleet, boolean slow) {
		fleet.servers.getFirst().faults().setSlowdown(slow ? 10 : 1);
		if (fleet.queue.milliseconds() < MatrixCell.START + MatrixCell.FAULT_TIME) {
			fleet.queue.schedule(FLAPPING_MICROSECONDS, () -> flap(fleet, !slow));
		}
	}

}
