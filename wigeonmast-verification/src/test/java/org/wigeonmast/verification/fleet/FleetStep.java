package org.wigeonmast.verification.fleet;

import java.util.Random;

import org.wigeonmast.core.HostAddress;

/**
 * One random step of a run.
 * <p>
 * Thread safety: immutable.
 *
 * @param kind what happens
 * @param subject chooses the daemon or the server
 * @param other chooses the other daemon, the amount or the kind of work
 * @param pause the time in milliseconds that passes afterwards
 */
record FleetStep(Kind kind, int subject, int other, int pause) {

	/** Times in milliseconds that pass after a step. */
	static final Integer[] PAUSES = { 0, 1, 20, 60, 400, 2500, 5000 };

	private static final int BURST = 12;

	private static final int CHOICES = 12;

	static FleetStep of(Random random) {
		Kind[] kinds = Kind.values();
		return new FleetStep(kinds[random.nextInt(kinds.length)], random.nextInt(CHOICES), random.nextInt(CHOICES),
				PAUSES[random.nextInt(PAUSES.length)]);
	}

	void apply(VirtualFleet fleet) {
		int daemon = this.subject % VirtualFleet.DAEMONS;
		VirtualServer server = fleet.servers.get(this.subject % VirtualFleet.SERVERS);
		HostAddress from = VirtualFleet.address(daemon);
		HostAddress to = VirtualFleet.address(this.other % VirtualFleet.DAEMONS);
		switch (this.kind) {
			case REQUEST -> fleet.request(daemon, this.other % 2 == 0, this.other % 5 == 0);
			case BURST -> burst(fleet);
			case CUT_ONE_WAY -> fleet.network.cut(from, to);
			case PARTITION -> fleet.network.setCutCondition((one, two) -> one.equals(from) != two.equals(from));
			case LOSS -> fleet.network.setLoss((this.other % 4) / 10.0);
			case HEAL -> fleet.network.heal();
			case SLOW -> server.faults().setSlowdown((this.other % 2 == 0) ? 10 : 1);
			case FAILING -> server.faults().setFailureShare((this.other % 3) / 2.0);
			case SILENT_SERVER -> server.faults().setSilent(this.other % 2 == 0);
			case REFUSING -> server.setRefusing(this.other % 2 == 0);
			case SERVER_LEAVES -> server.leave();
			case SILENT_CONNECTION ->
				fleet.daemons.get(this.other % VirtualFleet.DAEMONS).proxy.silence(server.address);
			case STORE_DOWN -> fleet.store.setDown(this.other % 2 == 0);
			case STORE_STALE -> fleet.store.setStale(this.other % 2 == 0);
			case PUBLISH -> fleet.publish();
			case PAUSE -> fleet.pause(daemon);
			case RESUME -> fleet.resume(daemon);
			case CRASH -> fleet.crash(daemon);
			case REPLACE -> fleet.replace(daemon);
			case STOP -> fleet.stop(daemon);
		}
		fleet.run(this.pause);
	}

	// Steady work long enough for evidence about servers.
	private void burst(VirtualFleet fleet) {
		for (int index = 0; index < BURST * (1 + this.other % 6); index++) {
			fleet.request(index % VirtualFleet.DAEMONS, index % 3 != 0, false);
			fleet.run(15);
		}
	}

	/** What happens in a step. */
	enum Kind {

		REQUEST, BURST, CUT_ONE_WAY, PARTITION, LOSS, HEAL, SLOW, FAILING, SILENT_SERVER, REFUSING, SERVER_LEAVES,
		SILENT_CONNECTION, STORE_DOWN, STORE_STALE, PUBLISH, PAUSE, RESUME, CRASH, REPLACE, STOP

	}

}
