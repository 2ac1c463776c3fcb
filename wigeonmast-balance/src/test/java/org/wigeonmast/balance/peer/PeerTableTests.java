package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.HostAddress;

/** Tests of {@link PeerTable} with a simulated fleet in virtual time. */
class PeerTableTests {

	private static final long STEP_MS = 100;

	private final Map<HostAddress, PeerTable> fleet = new HashMap<>();

	private final Map<HostAddress, Integer> sizes = new HashMap<>();

	private final List<HostAddress> observationReceivers = new ArrayList<>();

	private long now;

	/** Guards against daemons that do not discover each other through one seed. */
	@Test
	void daemonsFindEachOtherThroughOneSeed() {
		startFleet(36);
		runFor(10_000);
		this.fleet.keySet().forEach((daemon) -> Truth.assertThat(this.sizes.get(daemon)).isEqualTo(36));
	}

	/** Guards against counting daemons that have stopped when budgets are divided. */
	@Test
	void silentDaemonIsDropped() {
		startFleet(12);
		runFor(5000);
		this.fleet.remove(address(5));
		runFor(2 * PeerTable.LOST_AFTER_MS);
		this.fleet.keySet().forEach((daemon) -> Truth.assertThat(this.sizes.get(daemon)).isEqualTo(11));
	}

	/** Guards against a restarted daemon that stays alone because its seeds are down. */
	@Test
	void restartedDaemonIsFoundByItsPeersWithoutSeeds() {
		startFleet(12);
		runFor(5000);
		this.fleet.remove(address(5));
		add(5, List.of());
		runFor(5000);
		Truth.assertThat(this.sizes.get(address(5))).isEqualTo(12);
	}

	/** Guards against sending observations to regions that do not need them. */
	@Test
	void observationsStayInTheRegionOfTheServer() {
		startFleet(12);
		runFor(5000);
		ServerObservation observation = new ServerObservation(new BackendServerId("s"), ServerObservation.Kind.FAILED);
		deliver(this.fleet.get(address(2))
			.handle(this.now, new PeerTableInput.SendObservation(observation, BalanceFixtures.HOME)));
		Truth.assertThat(this.observationReceivers).hasSize(5);
	}

	private void startFleet(int daemons) {
		for (int i = 0; i < daemons; i++) {
			add(i, List.of(address(0)));
		}
	}

	private void add(int number, List<HostAddress> seeds) {
		PeerTable table = new PeerTable(address(number), (number % 2 == 0) ? BalanceFixtures.HOME : BalanceFixtures.FAR,
				this.now, RandomGeneratorFactory.of("L64X128MixRandom").create(number));
		this.fleet.put(address(number), table);
		this.sizes.put(address(number), 1);
		carryOut(address(number), table.handle(this.now, new PeerTableInput.SeedsChanged(seeds)));
	}

	private void runFor(long time) {
		for (long end = this.now + time; this.now < end; this.now += STEP_MS) {
			for (HostAddress daemon : List.copyOf(this.fleet.keySet())) {
				PeerTable table = this.fleet.get(daemon);
				if (table != null && table.nextTick() <= this.now) {
					carryOut(daemon, table.tick(this.now));
				}
			}
		}
	}

	private void deliver(List<PeerTableEffect> effects) {
		effects.forEach((effect) -> {
			if (effect instanceof PeerTableEffect.Send send && this.fleet.containsKey(send.receiver())) {
				this.observationReceivers.add(send.receiver());
			}
		});
	}

	private void carryOut(HostAddress daemon, List<PeerTableEffect> effects) {
		for (PeerTableEffect effect : effects) {
			switch (effect) {
				case PeerTableEffect.Send send -> {
					PeerTable receiver = this.fleet.get(send.receiver());
					if (receiver != null) {
						carryOut(send.receiver(),
								receiver.handle(this.now, new PeerTableInput.MessageReceived(send.message())));
					}
				}
				case PeerTableEffect.FleetSizeChanged changed -> this.sizes.put(daemon, changed.daemons());
				case PeerTableEffect.ObservationReceived _, PeerTableEffect.SuspicionReceived _,
						PeerTableEffect.PeerRevisionReceived _, PeerTableEffect.LoadReceived _,
						PeerTableEffect.Logged _ -> {
					// Not relevant to these tests.
				}
			}
		}
	}

	private static HostAddress address(int number) {
		return new HostAddress("127.0.1." + number, 7200);
	}

}
