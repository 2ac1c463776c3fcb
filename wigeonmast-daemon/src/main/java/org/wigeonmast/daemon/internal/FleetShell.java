package org.wigeonmast.daemon.internal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.manifest.JsonManifestChecker;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.follow.ManifestCodec;
import org.wigeonmast.manifest.follow.ManifestFollower;
import org.wigeonmast.manifest.follow.ManifestFollowerEffect;
import org.wigeonmast.manifest.follow.ManifestFollowerInput;
import org.wigeonmast.manifest.follow.ManifestFollowerSettings;
import org.wigeonmast.manifest.follow.ManifestMessage;
import org.wigeonmast.manifest.follow.Peer;
import org.wigeonmast.manifest.follow.VersionStamp;
import org.wigeonmast.manifest.store.PlatformHost;
import org.wigeonmast.membership.Member;
import org.wigeonmast.membership.MemberPhase;
import org.wigeonmast.membership.MemberStatus;
import org.wigeonmast.membership.MembershipCodec;
import org.wigeonmast.membership.MembershipEffect;
import org.wigeonmast.membership.MembershipInput;
import org.wigeonmast.membership.MembershipList;
import org.wigeonmast.membership.MembershipMessage;
import org.wigeonmast.membership.MembershipSettings;
import org.wigeonmast.membership.ownership.Ownership;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.wire.Slice;

/**
 * Shell of membership, ownership and the manifest follower.
 * <p>
 * Thread safety: confined to the control thread.
 */
final class FleetShell implements AutoCloseable {

	private final EventLog log = new EventLog(FleetShell.class);

	private final DaemonSettings settings;

	private final DaemonId self;

	private final PeerMessenger messenger;

	private final FleetListener listener;

	private final Consumer<AuditEntry> audit;

	private final Ownership ownership = new Ownership();

	private final MembershipList members;

	private final ManifestFollower follower;

	private final ComponentDriver<MembershipInput, MembershipEffect> membershipDriver;

	private final ComponentDriver<ManifestFollowerInput, ManifestFollowerEffect> followerDriver;

	private final SliceEndpoint<MembershipMessage> membershipEndpoint;

	private final SliceEndpoint<ManifestMessage> manifestEndpoint;

	private final StoreShell store;

	private @Nullable Manifest manifest;

	private List<PlatformHost> hosts = List.of();

	FleetShell(ControlLoop control, DaemonSettings settings, DaemonId self, PeerMessenger messenger, StoreCalls calls,
			RandomGenerator random, Consumer<AuditEntry> audit, FleetListener listener) {
		this.settings = settings;
		this.self = self;
		this.messenger = messenger;
		this.listener = listener;
		this.audit = audit;
		Member record = new Member(self, 0, messenger.address(), settings.failureDomain(), MemberPhase.STARTING,
				MemberStatus.LIVE);
		this.members = new MembershipList(record, MembershipSettings.standard(), random);
		this.follower = new ManifestFollower(self.name(), settings.failureDomain().region(), new JsonManifestChecker(),
				ManifestFollowerSettings.defaults().withWatchWait(settings.store().watchWait()), random);
		this.membershipDriver = new ComponentDriver<>(control, this.members, this::applyEffect);
		this.followerDriver = new ComponentDriver<>(control, this.follower, this::applyEffect);
		this.membershipEndpoint = messenger.register(Slice.MEMBERSHIP, new MembershipCodec(),
				(from, message) -> this.membershipDriver.handle(new MembershipInput.Received(from.address(), message)));
		this.manifestEndpoint = messenger.register(Slice.MANIFEST, new ManifestCodec(),
				(from, message) -> this.followerDriver
					.handle(new ManifestFollowerInput.MessageReceived(from.address(), message)));
		this.store = new StoreShell(control, calls, this.followerDriver::handle);
	}

	void start() {
		updateSeeds();
		this.membershipDriver.start();
		this.followerDriver.start();
		updateMembers();
		this.store.watchHosts(this::isReader, this::onHostsRead);
	}

	/**
	 * Announces that this daemon is leaving, so that other daemons take over its
	 * services.
	 */
	void leave() {
		this.membershipDriver.handle(new MembershipInput.PhaseChanged(MemberPhase.LEAVING));
	}

	@Override
	public void close() {
		this.membershipDriver.handle(new MembershipInput.Stopped());
		this.membershipDriver.stop();
		this.followerDriver.stop();
		this.store.close();
	}

	Ownership ownership() {
		return this.ownership;
	}

	Member self() {
		return this.members.self();
	}

	List<Member> liveMembers() {
		return this.members.live();
	}

	@Nullable Manifest manifest() {
		return this.manifest;
	}

	VersionStamp versionInForce() {
		return this.follower.versionInForce();
	}

	boolean isReady() {
		return this.follower.isReady();
	}

	boolean isCutOff() {
		return this.follower.isCutOff();
	}

	private boolean isReader() {
		return readerRank() != ManifestFollowerInput.PeersChanged.NOT_A_READER;
	}

	private int readerRank() {
		List<Member> readers = this.ownership.readers(this.settings.failureDomain().region());
		for (int rank = 0; rank < readers.size(); rank++) {
			if (readers.get(rank).id().equals(this.self)) {
				return rank;
			}
		}
		return ManifestFollowerInput.PeersChanged.NOT_A_READER;
	}

	private void applyEffect(MembershipEffect effect) {
		switch (effect) {
			case MembershipEffect.Send send -> this.membershipEndpoint.send(send.to(), send.message());
			case MembershipEffect.MembersChanged changed -> updateMembers();
			case MembershipEffect.Joined joined -> updateMembers();
			case MembershipEffect.ManifestReported reported ->
				this.followerDriver.handle(new ManifestFollowerInput.MessageReceived(reported.from(),
						new ManifestMessage.Announcement(reported.stamp())));
			case MembershipEffect.Resumed resumed -> {
				this.log.log(DaemonEvent.PAUSED, resumed.pauseMs());
				this.followerDriver.handle(new ManifestFollowerInput.Resumed());
				this.listener.onResumed();
			}
			case MembershipEffect.Audit entry -> this.audit.accept(entry.entry());
			case MembershipEffect.Report report -> this.log.log(report.event(), report.parameters().toArray());
		}
	}

	private void applyEffect(ManifestFollowerEffect effect) {
		switch (effect) {
			case ManifestFollowerEffect.Send send -> this.manifestEndpoint.send(send.to(), send.message());
			case ManifestFollowerEffect.ReadIndex read -> this.store.readIndex();
			case ManifestFollowerEffect.WatchIndex watch -> this.store.watchIndex(watch.knownHash());
			case ManifestFollowerEffect.ReadPart read -> this.store.readPart(read.hash());
			case ManifestFollowerEffect.Apply apply -> apply(apply.manifest());
			case ManifestFollowerEffect.ReadinessChanged changed -> updateReadiness(changed.ready());
			case ManifestFollowerEffect.Audit entry -> this.audit.accept(entry.entry());
			case ManifestFollowerEffect.Report report -> this.log.log(report.event(), report.parameters().toArray());
		}
	}

	private void apply(Manifest applied) {
		this.manifest = applied;
		this.membershipDriver
			.handle(new MembershipInput.ManifestApplied(new VersionStamp(applied.version(), applied.hash())));
		this.listener.onManifestApplied(applied);
	}

	private void updateReadiness(boolean ready) {
		if (this.members.self().phase() != MemberPhase.LEAVING) {
			this.membershipDriver
				.handle(new MembershipInput.PhaseChanged(ready ? MemberPhase.READY : MemberPhase.STARTING));
		}
		this.listener.onReadinessChanged(ready);
	}

	private void updateMembers() {
		List<Member> live = this.members.live();
		this.messenger.setMembers(live);
		this.ownership.update(live);
		Set<HostAddress> readers = new LinkedHashSet<>();
		live.stream()
			.map(Member::region)
			.distinct()
			.forEach((region) -> this.ownership.readers(region).forEach((reader) -> readers.add(reader.address())));
		List<Peer> peers = new ArrayList<>();
		for (Member member : live) {
			if (!member.id().equals(this.self)) {
				peers.add(new Peer(member.address(), member.region(), readers.contains(member.address())));
			}
		}
		this.followerDriver
			.handle(new ManifestFollowerInput.PeersChanged(peers, readerRank(), this.members.hasJoined()));
		this.listener.onMembersChanged();
	}

	private void onHostsRead(List<PlatformHost> read) {
		this.hosts = List.copyOf(read);
		updateSeeds();
		this.listener.onHostsRead(this.hosts);
	}

	private void updateSeeds() {
		Set<HostAddress> seeds = new LinkedHashSet<>(this.settings.peers().seeds());
		this.hosts.stream()
			.filter((host) -> host.role() == PlatformHost.Role.ENTRY && !host.leaving())
			.forEach((host) -> seeds.add(host.address()));
		seeds.remove(this.messenger.address());
		this.membershipDriver.handle(new MembershipInput.SeedsChanged(List.copyOf(seeds)));
	}

}
