package org.wigeonmast.bench.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeNetwork;

/**
 * A fleet of simulated daemons with its network and the configuration store.
 * <p>
 * Thread safety: none. Invariant: a run depends on the shape and the seed only, apart
 * from the measured processor time.
 */
final class SimulatedFleet {

	private static final long MICROSECONDS_PER_SECOND = 1_000_000;

	private final EventQueue queue = new EventQueue();

	private final FleetShape shape;

	private final Random random;

	private final SyntheticManifests manifests;

	private final SimulatedStore store;

	private final FakeNetwork<HostAddress, Packet> network;

	private final Map<HostAddress, FailureDomain> domains = new HashMap<>();

	private final List<SimulatedDaemon> daemons = new ArrayList<>();

	private final List<HostAddress> addresses = new ArrayList<>();

	private final Traffic traffic = new Traffic();

	private final Set<Region> cutRegions = new HashSet<>();

	private Consumer<SimulatedDaemon> onApplied = (daemon) -> {
	};

	private boolean encoding;

	private boolean measuring;

	private long incarnation;

	SimulatedFleet(FleetShape shape, long seed, int partCount, int partSize) {
		this.shape = shape;
		this.random = new Random(seed);
		this.manifests = new SyntheticManifests(new Random(seed + 1), partCount, partSize);
		this.store = new SimulatedStore(this.queue, this.manifests);
		this.network = new FakeNetwork<>(this.queue, new Random(seed + 2),
				(from, to) -> shape.delay(this.domains.get(from), this.domains.get(to)));
		for (int i = 0; i < shape.daemons(); i++) {
			HostAddress address = shape.address(i);
			this.addresses.add(address);
			this.domains.put(address, shape.domain(i));
			this.daemons.add(newDaemon(i));
		}
	}

	EventQueue queue() {
		return this.queue;
	}

	FleetShape shape() {
		return this.shape;
	}

	SyntheticManifests manifests() {
		return this.manifests;
	}

	SimulatedStore store() {
		return this.store;
	}

	FakeNetwork<HostAddress, Packet> network() {
		return this.network;
	}

	Traffic traffic() {
		return this.traffic;
	}

	List<SimulatedDaemon> daemons() {
		return this.daemons;
	}

	Random random() {
		return this.random;
	}

	long nextSeed() {
		return this.random.nextLong();
	}

	boolean isEncoding() {
		return this.encoding;
	}

	boolean isMeasuring() {
		return this.measuring;
	}

	void setMeasuring(boolean value) {
		this.encoding = value;
		this.measuring = value;
	}

	void setOnApplied(Consumer<SimulatedDaemon> listener) {
		this.onApplied = listener;
	}

	/**
	 * Starts all daemons within a second and runs until all are ready.
	 * @param limit the greatest time in seconds
	 * @return the time in milliseconds, or -1 if the limit was reached
	 */
	long startAll(long limit) {
		for (SimulatedDaemon daemon : this.daemons) {
			this.queue.schedule(this.random.nextLong(MICROSECONDS_PER_SECOND), () -> daemon.start(this.addresses));
		}
		return runUntil((fleet) -> fleet.daemons.stream()
			.allMatch(
					(daemon) -> daemon.follower().isReady() && daemon.membership().liveCount() == this.daemons.size()),
				limit);
	}

	/**
	 * Replaces a daemon by a new one, which starts empty at the same address.
	 * @param number the number of the daemon
	 * @return the new daemon
	 */
	SimulatedDaemon replace(int number) {
		this.daemons.get(number).kill();
		SimulatedDaemon replacement = newDaemon(number);
		this.daemons.set(number, replacement);
		replacement.start(this.addresses);
		return replacement;
	}

	private SimulatedDaemon newDaemon(int number) {
		SimulatedDaemon daemon = new SimulatedDaemon(this, number, ++this.incarnation);
		this.network.register(daemon.address(), daemon::receive);
		return daemon;
	}

	/** Publishes the next version of the manifest in the store. */
	void publish() {
		this.manifests.change();
		this.store.publish();
	}

	/**
	 * Cuts a region off from all others and from the store.
	 * @param region the region
	 */
	void cutRegion(Region region) {
		this.cutRegions.add(region);
		this.network.setCutCondition((from, to) -> {
			Region source = this.domains.get(from).region();
			Region target = this.domains.get(to).region();
			return !source.equals(target) && (this.cutRegions.contains(source) || this.cutRegions.contains(target));
		});
	}

	void heal() {
		this.cutRegions.clear();
		this.network.heal();
	}

	void runFor(long milliseconds) {
		this.queue.runUntil(this.queue.microseconds() + milliseconds * EventQueue.MICROSECONDS_PER_MILLISECOND);
	}

	/**
	 * Runs until a condition holds, which is checked each 10 ms.
	 * @param condition the condition
	 * @param limit the greatest time in seconds
	 * @return the time in milliseconds, or -1 if the limit was reached
	 */
	long runUntil(Predicate<SimulatedFleet> condition, long limit) {
		long start = this.queue.milliseconds();
		while (!condition.test(this)) {
			if (this.queue.milliseconds() - start >= limit * 1000) {
				return -1;
			}
			runFor(10);
		}
		return this.queue.milliseconds() - start;
	}

	void send(SimulatedDaemon from, HostAddress to, Packet packet) {
		if (packet instanceof Packet.Encoded encoded) {
			FailureDomain target = this.domains.get(to);
			this.traffic.count(encoded.membership(), encoded.bytes().length,
					target != null && !target.region().equals(from.member().region()));
		}
		this.network.send(from.address(), to, packet);
	}

	void applied(SimulatedDaemon daemon) {
		this.onApplied.accept(daemon);
	}

	long storeDelay(SimulatedDaemon daemon) {
		return this.shape.delay(this.shape.domains().getFirst(), daemon.member().failureDomain());
	}

	boolean reachesStore(SimulatedDaemon daemon) {
		Region region = daemon.member().region();
		return region.equals(this.shape.storeRegion())
				|| !(this.cutRegions.contains(region) || this.cutRegions.contains(this.shape.storeRegion()));
	}

}
