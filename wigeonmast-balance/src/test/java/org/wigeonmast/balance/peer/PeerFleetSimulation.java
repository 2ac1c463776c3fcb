package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.testing.EventQueue;

/**
 * A simulated fleet of {@link PeerTable}s in virtual time, whose datagrams are delayed
 * and may be lost.
 * <p>
 * Thread safety: none.
 */
final class PeerFleetSimulation {

	private static final long IN_REGION_MS = 1;

	private static final long BETWEEN_REGIONS_MS = 20;

	private static final int DOMAINS_PER_REGION = 4;

	private static final int FIRST_PORT = 1000;

	private static final int SEEDS = 3;

	/** Time in which all daemons of a fleet start. */
	private static final int START_MS = 300;

	private final Random random;

	private final int regions;

	private final double loss;

	private final Map<HostAddress, PeerTable> tables = new HashMap<>();

	private final Map<HostAddress, Long> ticks = new HashMap<>();

	private final Map<HostAddress, Integer> sizes = new HashMap<>();

	private final Set<HostAddress> paused = new HashSet<>();

	private final Map<HostAddress, List<Runnable>> heldBack = new HashMap<>();

	private final EventQueue events = new EventQueue();

	private boolean partitioned;

	private long datagrams;

	private long bytes;

	private long liveRemoved;

	PeerFleetSimulation(long seed, int regions, double loss) {
		this.random = new Random(seed);
		this.regions = regions;
		this.loss = loss;
	}

	/**
	 * Starts daemons with the first numbers.
	 * @param daemons the number of daemons
	 */
	void startAll(int daemons) {
		for (int i = 0; i < daemons; i++) {
			int number = i;
			schedule(this.random.nextInt(START_MS), () -> start(number));
		}
	}

	void start(int number) {
		HostAddress address = address(number);
		PeerTable table = new PeerTable(address, domain(number), now() / 1000,
				RandomGeneratorFactory.of("L64X128MixRandom").create(this.random.nextLong()));
		this.tables.put(address, table);
		this.sizes.put(address, 1);
		List<HostAddress> seeds = new ArrayList<>();
		for (int i = 0; i < SEEDS; i++) {
			seeds.add(address(i));
		}
		carryOut(address, table.handle(now(), new PeerTableInput.SeedsChanged(seeds)));
	}

	void kill(int number) {
		this.tables.remove(address(number));
		this.ticks.remove(address(number));
	}

	void leave(int number) {
		HostAddress address = address(number);
		carryOut(address, this.tables.get(address).handle(now(), new PeerTableInput.Leave()));
	}

	/** Pauses a daemon; its datagrams wait, and its timers run late. */
	void pause(int number) {
		this.paused.add(address(number));
	}

	void resume(int number) {
		HostAddress address = address(number);
		this.paused.remove(address);
		List<Runnable> held = this.heldBack.remove(address);
		schedule(0, () -> tick(address, Long.MIN_VALUE));
		if (held != null) {
			held.forEach((action) -> schedule(0, action));
		}
	}

	void setPartitioned(boolean partitioned) {
		this.partitioned = partitioned;
	}

	void runFor(long duration) {
		this.events.runUntil((now() + duration) * EventQueue.MICROSECONDS_PER_MILLISECOND);
	}

	private void carryOut(HostAddress daemon, List<PeerTableEffect> effects) {
		for (PeerTableEffect effect : effects) {
			if (effect instanceof PeerTableEffect.Send send) {
				transmit(daemon, send);
			}
			else if (effect instanceof PeerTableEffect.FleetSizeChanged changed) {
				this.sizes.put(daemon, changed.daemons());
			}
			else if (effect instanceof PeerTableEffect.Logged logged && logged.event().name().equals("PEER_LOST")
					&& this.tables.containsKey(logged.parameters().getFirst())) {
				this.liveRemoved++;
			}
		}
		PeerTable table = this.tables.get(daemon);
		if (table != null) {
			scheduleTick(daemon, table.nextTick());
		}
	}

	private void scheduleTick(HostAddress daemon, long next) {
		if (next < this.ticks.getOrDefault(daemon, Long.MAX_VALUE)) {
			this.ticks.put(daemon, next);
			schedule(Math.max(0, next - now()), () -> tick(daemon, next));
		}
	}

	private void tick(HostAddress daemon, long due) {
		PeerTable table = this.tables.get(daemon);
		boolean outdated = due != Long.MIN_VALUE && this.ticks.getOrDefault(daemon, Long.MAX_VALUE) != due;
		if (table == null || outdated || this.paused.contains(daemon)) {
			return;
		}
		this.ticks.remove(daemon);
		carryOut(daemon, table.tick(now()));
	}

	private void transmit(HostAddress sender, PeerTableEffect.Send send) {
		this.datagrams++;
		this.bytes += PeerMessageCodec.encode(send.message()).length;
		boolean sameRegion = region(sender) == region(send.receiver());
		if (this.random.nextDouble() < this.loss || (this.partitioned && !sameRegion)) {
			return;
		}
		schedule(sameRegion ? IN_REGION_MS : BETWEEN_REGIONS_MS, () -> deliver(send));
	}

	private void deliver(PeerTableEffect.Send send) {
		if (this.paused.contains(send.receiver())) {
			this.heldBack.computeIfAbsent(send.receiver(), (address) -> new ArrayList<>()).add(() -> deliver(send));
			return;
		}
		PeerTable receiver = this.tables.get(send.receiver());
		if (receiver != null) {
			carryOut(send.receiver(), receiver.handle(now(), new PeerTableInput.MessageReceived(send.message())));
		}
	}

	private long now() {
		return this.events.milliseconds();
	}

	private void schedule(long delay, Runnable action) {
		this.events.schedule(delay * EventQueue.MICROSECONDS_PER_MILLISECOND, action);
	}

	int smallestTable() {
		return this.tables.keySet().stream().mapToInt(this.sizes::get).min().orElseThrow();
	}

	int largestTable() {
		return this.tables.keySet().stream().mapToInt(this.sizes::get).max().orElseThrow();
	}

	/**
	 * Returns how often a daemon removed a live one.
	 * @return the number
	 */
	long liveRemoved() {
		return this.liveRemoved;
	}

	long bytes() {
		return this.bytes;
	}

	long datagrams() {
		return this.datagrams;
	}

	private static HostAddress address(int number) {
		return new HostAddress("127.0.0.1", FIRST_PORT + number);
	}

	private int region(HostAddress address) {
		return (address.port() - FIRST_PORT) % this.regions;
	}

	private FailureDomain domain(int number) {
		int region = region(address(number));
		return new FailureDomain(new Region("region-" + region),
				"domain-" + region + '-' + number / this.regions % DOMAINS_PER_REGION);
	}

}
