package org.wigeonmast.manifest.follow;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.ManifestChecker;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.ManifestPart;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.internal.Hashes;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeNetwork;

/**
 * A simulation of the followers of one region under faults, which checks the guarantees
 * of the {@link ManifestFollower} at every effect.
 * <p>
 * Thread safety: none. Membership is static: no daemon is ever declared dead.
 */
final class FollowerSimulation implements ManifestChecker {

	final EventQueue queue = new EventQueue();

	final FakeNetwork<HostAddress, ManifestMessage> network;

	final List<String> violations = new ArrayList<>();

	final List<Daemon> daemons = new ArrayList<>();

	private final Random random;

	private final FollowerFactory factory;

	private final Map<String, byte[]> content = new HashMap<>();

	private final List<byte[]> indexes = new ArrayList<>();

	private int servedPosition;

	private int readinessChecks;

	FollowerSimulation(long seed, int count, FollowerFactory factory) {
		this.random = new Random(seed);
		this.factory = factory;
		this.network = new FakeNetwork<>(this.queue, new Random(seed + 1), (from, to) -> 1000);
		publish();
		for (int i = 0; i < count; i++) {
			this.daemons.add(new Daemon(i));
		}
		this.daemons.forEach(Daemon::start);
	}

	int readinessChecks() {
		return this.readinessChecks;
	}

	/** Publishes a version with a new index and one new part. */
	void publish() {
		int version = this.indexes.size() + 1;
		String text = version + "";
		for (String part : List.of("part of version " + version, "shared part")) {
			byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
			this.content.put(Hashes.sha256(bytes), bytes);
			text += " " + Hashes.sha256(bytes) + " " + bytes.length;
		}
		this.indexes.add(text.getBytes(StandardCharsets.UTF_8));
		this.servedPosition = this.indexes.size() - 1;
	}

	/**
	 * Makes the store return an old version.
	 * @param version the position of the version, from 0, modulo the number of versions
	 */
	void serveStale(int version) {
		this.servedPosition = version % this.indexes.size();
	}

	void run(long milliseconds) {
		this.queue.runUntil(this.queue.microseconds() + milliseconds * EventQueue.MICROSECONDS_PER_MILLISECOND);
	}

	@Override
	public Either<List<String>, ManifestIndex> readIndex(byte[] bytes) {
		String[] words = new String(bytes, StandardCharsets.UTF_8).split(" ");
		List<ManifestPart> parts = new ArrayList<>();
		for (int i = 1; i < words.length; i += 2) {
			parts.add(new ManifestPart("part-" + i, words[i], Long.parseLong(words[i + 1])));
		}
		return Either.right(new ManifestIndex(Long.parseLong(words[0]), Hashes.sha256(bytes), parts));
	}

	@Override
	public Either<List<String>, Manifest> check(ManifestIndex index, Map<String, byte[]> parts) {
		return Either.right(new StubManifest(index.version(), index.hash()));
	}

	/** A daemon, which keeps its address but loses its state when it restarts. */
	final class Daemon {

		private final HostAddress address;

		private final int number;

		private Component<ManifestFollowerInput, ManifestFollowerEffect> component;

		private ManifestFollower follower;

		private int incarnation;

		private long highestVersion;

		private Map<Daemon, Integer> incarnationsAtStart = Map.of();

		private Map<Daemon, Long> highestVersionsAtStart = Map.of();

		Daemon(int number) {
			this.number = number;
			this.address = new HostAddress("10.0.0." + (number + 1), 1);
		}

		long version() {
			return this.follower.versionInForce().version();
		}

		boolean isReady() {
			return this.follower.isReady();
		}

		void start() {
			this.incarnation++;
			this.highestVersion = 0;
			this.incarnationsAtStart = new HashMap<>();
			this.highestVersionsAtStart = new HashMap<>();
			for (Daemon other : FollowerSimulation.this.daemons) {
				this.incarnationsAtStart.put(other, other.incarnation);
				this.highestVersionsAtStart.put(other, other.highestVersion);
			}
			this.follower = new ManifestFollower("daemon-" + this.number, new Region("r"), FollowerSimulation.this,
					ManifestFollowerSettings.defaults(), new Random(FollowerSimulation.this.random.nextLong()));
			this.component = FollowerSimulation.this.factory.create(this.follower);
			int current = this.incarnation;
			FollowerSimulation.this.network.register(this.address,
					(from, message) -> deliver(current, new ManifestFollowerInput.MessageReceived(from, message)));
			List<Peer> peers = new ArrayList<>();
			for (Daemon other : FollowerSimulation.this.daemons) {
				if (other != this) {
					peers.add(new Peer(other.address, new Region("r"), other.number < 2));
				}
			}
			deliver(current, new ManifestFollowerInput.PeersChanged(peers, (this.number < 2) ? this.number : -1, true));
			tickPeriodically(current);
			announcePeriodically(current);
		}

		void resume() {
			deliver(this.incarnation, new ManifestFollowerInput.Resumed());
		}

		private void tickPeriodically(int expected) {
			if (expected == this.incarnation) {
				execute(this.component.tick(FollowerSimulation.this.queue.milliseconds()));
				FollowerSimulation.this.queue.schedule(50_000, () -> tickPeriodically(expected));
			}
		}

		/** Simulates the membership probe that carries the version in force. */
		private void announcePeriodically(int expected) {
			if (expected == this.incarnation) {
				Daemon other = FollowerSimulation.this.daemons
					.get(FollowerSimulation.this.random.nextInt(FollowerSimulation.this.daemons.size()));
				FollowerSimulation.this.network.send(this.address, other.address,
						new ManifestMessage.Announcement(this.follower.versionInForce()));
				FollowerSimulation.this.queue.schedule(1_000_000, () -> announcePeriodically(expected));
			}
		}

		private void deliver(int expected, ManifestFollowerInput input) {
			if (expected == this.incarnation) {
				execute(this.component.handle(FollowerSimulation.this.queue.milliseconds(), input));
			}
		}

		private void execute(List<ManifestFollowerEffect> effects) {
			for (ManifestFollowerEffect effect : effects) {
				switch (effect) {
					case ManifestFollowerEffect.Send send ->
						FollowerSimulation.this.network.send(this.address, send.to(), send.message());
					case ManifestFollowerEffect.ReadIndex read ->
						deliverFromStore(this.incarnation, new ManifestFollowerInput.StoreIndexReceived(
								FollowerSimulation.this.indexes.get(FollowerSimulation.this.servedPosition)));
					case ManifestFollowerEffect.WatchIndex watch -> watchIndex(this.incarnation, watch);
					case ManifestFollowerEffect.ReadPart read ->
						deliverFromStore(this.incarnation, new ManifestFollowerInput.StorePartReceived(read.hash(),
								FollowerSimulation.this.content.get(read.hash())));
					case ManifestFollowerEffect.Apply apply -> onApply(apply.manifest().version());
					case ManifestFollowerEffect.ReadinessChanged change when change.ready() -> onReady();
					case ManifestFollowerEffect.ReadinessChanged change -> {
					}
					case ManifestFollowerEffect.Audit audit -> {
					}
					case ManifestFollowerEffect.Report report -> {
					}
				}
			}
		}

		private void deliverFromStore(int expected, ManifestFollowerInput reply) {
			FollowerSimulation.this.queue.schedule(5000, () -> deliver(expected, reply));
		}

		private void watchIndex(int expected, ManifestFollowerEffect.WatchIndex watch) {
			FollowerSimulation.this.queue.schedule(watch.waitTime() * 300, () -> {
				byte[] index = FollowerSimulation.this.indexes.get(FollowerSimulation.this.servedPosition);
				deliver(expected,
						Hashes.sha256(index).equals(watch.knownHash()) ? new ManifestFollowerInput.StoreIndexUnchanged()
								: new ManifestFollowerInput.StoreIndexReceived(index));
			});
		}

		private void onApply(long version) {
			if (version <= this.highestVersion) {
				FollowerSimulation.this.violations
					.add("daemon " + this.number + " went from " + this.highestVersion + " to " + version);
			}
			this.highestVersion = Math.max(this.highestVersion, version);
		}

		private void onReady() {
			long required = 0;
			List<Long> held = new ArrayList<>();
			for (Daemon other : FollowerSimulation.this.daemons) {
				if (other != this && other.incarnation == this.incarnationsAtStart.get(other)) {
					held.add(this.highestVersionsAtStart.get(other));
				}
			}
			held.sort(Comparator.reverseOrder());
			int majority = FollowerSimulation.this.daemons.size() / 2 + 1;
			if (held.size() >= majority) {
				required = held.get(majority - 1);
				FollowerSimulation.this.readinessChecks += (required > 0) ? 1 : 0;
			}
			if (this.highestVersion < required) {
				FollowerSimulation.this.violations.add("daemon " + this.number + " is ready with " + this.highestVersion
						+ " though a majority accepted " + required + " before it started");
			}
		}

	}

	/**
	 * A stub manifest without entries.
	 *
	 * @param version the version
	 * @param hash the hash of the index
	 */
	private record StubManifest(long version, String hash) implements Manifest {

		@Override
		public Collection<Service> services() {
			return List.of();
		}

		@Override
		public @Nullable Service service(ServiceName name) {
			return null;
		}

		@Override
		public @Nullable Route route(String method, String path) {
			return null;
		}

		@Override
		public long callerLimit(CallerId caller) {
			return 0;
		}

		@Override
		public Map<FailureDomain, Integer> daemons() {
			return Map.of();
		}
	}

	/** Creates the component under test, so that tests can substitute a faulty one. */
	interface FollowerFactory {

		Component<ManifestFollowerInput, ManifestFollowerEffect> create(ManifestFollower follower);

	}

}
