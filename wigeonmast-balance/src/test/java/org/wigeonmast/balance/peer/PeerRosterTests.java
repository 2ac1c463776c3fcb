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

/** Tests of {@link PeerRoster} with a simulated fleet in virtual time. */
class PeerRosterTests {

	private static final long STEP = 100;

	private final Map<HostAddress, PeerRoster> fleet = new HashMap<>();

	private final Map<HostAddress, Integer> sizes = new HashMap<>();

	private final List<HostAddress> toldTo = new ArrayList<>();

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
		runFor(2 * PeerRoster.LOST_AFTER);
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
	void newsOfAServerStayInItsRegion() {
		startFleet(12);
		runFor(5000);
		ServerObservation news = new ServerObservation(new BackendServerId("s"), ServerObservation.Kind.FAILED);
		deliver(this.fleet.get(address(2)).handle(this.now, new RosterInput.SendObservation(news, BalanceFixtures.HOME.region())));
		Truth.assertThat(this.toldTo).hasSize(5);
	}

	private void startFleet(int daemons) {
		for (int i = 0; i < daemons; i++) {
			add(i, List.of(address(0)));
		}
	}

	private void add(int number, List<HostAddress> seeds) {
		PeerRoster roster = new PeerRoster(address(number),
				(number % 2 == 0) ? BalanceFixtures.HOME : BalanceFixtures.FAR,
				RandomGeneratorFactory.of("L64X128MixRandom").create(number));
		this.fleet.put(address(number), roster);
		this.sizes.put(address(number), 1);
		carryOut(address(number), roster.handle(this.now, new RosterInput.Seeds(seeds)));
	}

	private void runFor(long time) {
		for (long end = this.now + time; this.now < end; this.now += STEP) {
			for (HostAddress daemon : List.copyOf(this.fleet.keySet())) {
				PeerRoster roster = this.fleet.get(daemon);
				if (roster != null && roster.nextTick() <= this.now) {
					carryOut(daemon, roster.tick(this.now));
				}
			}
		}
	}

	private void deliver(List<RosterEffect> effects) {
		effects.forEach((effect) -> {
			if (effect instanceof RosterEffect.Send send && this.fleet.containsKey(send.receiver())) {
				this.toldTo.add(send.receiver());
			}
		});
	}

	private void carryOut(HostAddress daemon, List<RosterEffect> effects) {
		for (RosterEffect effect : effects) {
			switch (effect) {
				case RosterEffect.Send send -> {
					PeerRoster receiver = this.fleet.get(send.receiver());
					if (receiver != null) {
						carryOut(send.receiver(), receiver.handle(this.now, new RosterInput.Received(send.message())));
					}
				}
				case RosterEffect.SizeChanged changed -> this.sizes.put(daemon, changed.daemons());
				case RosterEffect.ObservationReceived _, RosterEffect.SuspicionReceived _, RosterEffect.PeerRevisionReceived _, RosterEffect.LoadReceived _,
						RosterEffect.Logged _ -> {
					// Not relevant to these tests.
				}
			}
		}
	}

	private static HostAddress address(int number) {
		return new HostAddress("127.0.1." + number, 7200);
	}

}
