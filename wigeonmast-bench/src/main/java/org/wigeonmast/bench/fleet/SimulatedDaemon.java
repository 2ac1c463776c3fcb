package org.wigeonmast.bench.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.Region;
import org.wigeonmast.manifest.follow.ManifestCodec;
import org.wigeonmast.manifest.follow.ManifestFollower;
import org.wigeonmast.manifest.follow.ManifestFollowerEffect;
import org.wigeonmast.manifest.follow.ManifestFollowerInput;
import org.wigeonmast.manifest.follow.ManifestFollowerSettings;
import org.wigeonmast.manifest.follow.ManifestMessage;
import org.wigeonmast.manifest.follow.Peer;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.membership.MemberStatus;
import org.wigeonmast.membership.MembershipCodec;
import org.wigeonmast.membership.MembershipEffect;
import org.wigeonmast.membership.MembershipEvent;
import org.wigeonmast.membership.MembershipInput;
import org.wigeonmast.membership.MembershipList;
import org.wigeonmast.membership.MembershipSettings;
import org.wigeonmast.membership.ownership.Ownership;
import org.wigeonmast.testing.EventQueue;

/**
 * The control components of one daemon, wired as the daemon wires them, in virtual time.
 * <p>
 * Thread safety: none. Invariant: a paused daemon handles what arrived, in order, when it
 * resumes; a stopped one handles nothing.
 */
final class SimulatedDaemon {

	/** Time for which changes of members are collected before the view is rebuilt. */
	private static final long VIEW_DELAY = 250;

	private static final MembershipCodec MEMBERSHIP_CODEC = new MembershipCodec();

	private static final ManifestCodec MANIFEST_CODEC = new ManifestCodec();

	private final SimulatedFleet fleet;

	private final EventQueue queue;

	private final MembershipList membership;

	private final ManifestFollower follower;

	private final Ownership ownership = new Ownership();

	private final List<Runnable> delayed = new ArrayList<>();

	private final Member initial;

	private long wakeAt = Long.MAX_VALUE;

	private long viewDue = Long.MAX_VALUE;

	private boolean stopped;

	private boolean paused;

	private int deathsReported;

	SimulatedDaemon(SimulatedFleet fleet, int number, long incarnation) {
		this.fleet = fleet;
		this.queue = fleet.queue();
		FleetShape shape = fleet.shape();
		this.initial = new Member(new DaemonId("daemon-" + number, incarnation), 0, shape.address(number),
				shape.domain(number), MemberPhase.STARTING, MemberStatus.LIVE);
		Random random = new Random(fleet.nextSeed());
		this.membership = new MembershipList(this.initial, MembershipSettings.standard(), random);
		this.follower = new ManifestFollower(this.initial.name(), this.initial.region(), fleet.manifests(),
				ManifestFollowerSettings.defaults(), random);
	}

	Member member() {
		return this.initial;
	}

	HostAddress address() {
		return this.initial.address();
	}

	MembershipList membership() {
		return this.membership;
	}

	ManifestFollower follower() {
		return this.follower;
	}

	Ownership ownership() {
		return this.ownership;
	}

	boolean isStopped() {
		return this.stopped;
	}

	boolean isPaused() {
		return this.paused;
	}

	int deathsReported() {
		return this.deathsReported;
	}

	void start(List<HostAddress> seeds) {
		run(() -> give(new MembershipInput.SeedsChanged(seeds)));
	}

	void receive(HostAddress from, Packet packet) {
		run(() -> {
			try {
				switch (packet) {
					case Packet.OfMembership message -> give(new MembershipInput.Received(from, message.message()));
					case Packet.OfManifest message ->
						give(new ManifestFollowerInput.MessageReceived(from, message.message()));
					case Packet.Encoded encoded when encoded.membership() ->
						give(new MembershipInput.Received(from, MEMBERSHIP_CODEC.decode(encoded.bytes())));
					case Packet.Encoded encoded ->
						give(new ManifestFollowerInput.MessageReceived(from, MANIFEST_CODEC.decode(encoded.bytes())));
				}
			}
			catch (MalformedMessageException exception) {
				throw new IllegalStateException(exception);
			}
		});
	}

	void announceLeaving() {
		run(() -> give(new MembershipInput.PhaseChanged(MemberPhase.LEAVING)));
	}

	void stop() {
		run(() -> give(new MembershipInput.Stopped()));
		kill();
	}

	void kill() {
		this.stopped = true;
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		List<Runnable> waiting = List.copyOf(this.delayed);
		this.delayed.clear();
		waiting.forEach(this::run);
		run(() -> {
		});
	}

	private void run(Runnable action) {
		if (this.stopped) {
			return;
		}
		if (this.paused) {
			this.delayed.add(action);
			return;
		}
		long start = this.fleet.isMeasuring() ? System.nanoTime() : 0;
		action.run();
		long now = this.queue.milliseconds();
		if (now >= this.membership.nextTick()) {
			carryOutMembership(this.membership.tick(now));
		}
		if (now >= this.viewDue) {
			updateView();
		}
		if (now >= this.follower.nextTick()) {
			carryOutFollow(this.follower.tick(now));
		}
		if (start != 0) {
			this.fleet.traffic().addProcessorTime(System.nanoTime() - start);
		}
		scheduleWake();
	}

	private void scheduleWake() {
		long next = Math.min(this.viewDue, Math.min(this.membership.nextTick(), this.follower.nextTick()));
		// A timer that is due at once waits for the next millisecond.
		next = Math.max(next, this.queue.milliseconds() + 1);
		if (next < this.wakeAt) {
			this.wakeAt = next;
			long delay = next * EventQueue.MICROSECONDS_PER_MILLISECOND - this.queue.microseconds();
			long scheduled = next;
			this.queue.schedule(delay, () -> {
				if (this.wakeAt == scheduled) {
					this.wakeAt = Long.MAX_VALUE;
					run(() -> {
					});
				}
			});
		}
	}

	private void give(MembershipInput input) {
		carryOutMembership(this.membership.handle(this.queue.milliseconds(), input));
	}

	void give(ManifestFollowerInput input) {
		carryOutFollow(this.follower.handle(this.queue.milliseconds(), input));
	}

	private void carryOutMembership(List<MembershipEffect> effects) {
		for (MembershipEffect effect : effects) {
			switch (effect) {
				case MembershipEffect.Send send -> this.fleet.send(this, send.to(),
						(this.fleet.isEncoding()) ? new Packet.Encoded(true, MEMBERSHIP_CODEC.encode(send.message()))
								: new Packet.OfMembership(send.message()));
				case MembershipEffect.MembersChanged changed ->
					this.viewDue = Math.min(this.viewDue, this.queue.milliseconds() + VIEW_DELAY);
				case MembershipEffect.Joined joined -> this.viewDue = this.queue.milliseconds();
				case MembershipEffect.ManifestReported heard ->
					give(new ManifestFollowerInput.MessageReceived(heard.from(),
							new ManifestMessage.Announcement(heard.stamp())));
				case MembershipEffect.Resumed resumed -> give(new ManifestFollowerInput.Resumed());
				case MembershipEffect.Audit audit -> {
				}
				case MembershipEffect.Report report -> {
					if (report.event() == MembershipEvent.DEAD) {
						this.deathsReported++;
					}
				}
			}
		}
	}

	private void updateView() {
		this.viewDue = Long.MAX_VALUE;
		List<Member> live = this.membership.live();
		this.ownership.update(live);
		this.carryOutFollow(this.follower.handle(this.queue.milliseconds(), peersChanged(live)));
	}

	private ManifestFollowerInput.PeersChanged peersChanged(List<Member> live) {
		List<Peer> peers = new ArrayList<>(live.size());
		int rank = ManifestFollowerInput.PeersChanged.NOT_A_READER;
		List<Member> localReaders = this.ownership.readers(this.initial.region());
		Set<HostAddress> readers = new HashSet<>();
		for (Region region : this.fleet.shape().regions()) {
			this.ownership.readers(region).forEach((reader) -> readers.add(reader.address()));
		}
		for (int i = 0; i < localReaders.size(); i++) {
			if (localReaders.get(i).address().equals(address())) {
				rank = i;
			}
		}
		for (Member member : live) {
			if (!member.address().equals(address())) {
				peers.add(new Peer(member.address(), member.region(), readers.contains(member.address())));
			}
		}
		return new ManifestFollowerInput.PeersChanged(peers, rank, this.membership.hasJoined());
	}

	private void carryOutFollow(List<ManifestFollowerEffect> effects) {
		for (ManifestFollowerEffect effect : effects) {
			switch (effect) {
				case ManifestFollowerEffect.Send send -> this.fleet.send(this, send.to(),
						(this.fleet.isEncoding()) ? new Packet.Encoded(false, MANIFEST_CODEC.encode(send.message()))
								: new Packet.OfManifest(send.message()));
				case ManifestFollowerEffect.ReadIndex read -> this.fleet.store().readIndex(caller());
				case ManifestFollowerEffect.WatchIndex watch ->
					this.fleet.store().watchIndex(caller(), watch.knownHash(), watch.waitTime());
				case ManifestFollowerEffect.ReadPart read -> this.fleet.store().readPart(caller(), read.hash());
				case ManifestFollowerEffect.Apply apply -> {
					this.fleet.applied(this);
					give(new MembershipInput.ManifestApplied(this.follower.versionInForce()));
				}
				case ManifestFollowerEffect.ReadinessChanged change ->
					give(new MembershipInput.PhaseChanged((change.ready()) ? MemberPhase.READY : MemberPhase.STARTING));
				case ManifestFollowerEffect.Audit audit -> {
				}
				case ManifestFollowerEffect.Report report -> {
				}
			}
		}
	}

	private SimulatedStore.Caller caller() {
		return new SimulatedStore.Caller() {

			@Override
			public long delay() {
				return SimulatedDaemon.this.fleet.storeDelay(SimulatedDaemon.this);
			}

			@Override
			public boolean isConnected() {
				return !SimulatedDaemon.this.stopped && SimulatedDaemon.this.fleet.reachesStore(SimulatedDaemon.this);
			}

			@Override
			public void answer(ManifestFollowerInput input) {
				if (isConnected()) {
					SimulatedDaemon.this.queue.schedule(delay(), () -> run(() -> give(input)));
				}
			}
		};
	}

}
