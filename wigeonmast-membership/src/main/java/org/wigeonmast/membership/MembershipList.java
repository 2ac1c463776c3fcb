package org.wigeonmast.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;
import org.wigeonmast.manifest.follow.VersionStamp;
import org.wigeonmast.membership.MemberTable.Entry;

/**
 * One daemon's view of the fleet's members, maintained with SWIM probes and gossip.
 * <p>
 * Thread safety: none; the control thread owns it. All times are monotonic and in
 * milliseconds. Invariants: the cost of a message does not grow with the fleet, apart
 * from the first exchange of all records; a record is replaced only if
 * {@link Member#canReplace(Member)} permits it; a daemon that was paused, or that no
 * relay answers, does not report suspicions to others.
 * <p>
 * Wiring: pass every message of this slice as {@link MembershipInput.Received}, the seeds
 * as {@link MembershipInput.SeedsChanged} at the start and whenever the host list
 * changes, and call {@link #tick(long)} at {@link #nextTick()}. On
 * {@link MembershipEffect.MembersChanged} pass {@link #live()} to
 * {@link org.wigeonmast.membership.ownership.Ownership#update Ownership.update} and the
 * peers derived from it to the manifest follower. Pass
 * {@link MembershipEffect.ManifestReported} to the follower as an announcement, the
 * follower's {@code Apply} back as {@link MembershipInput.ManifestApplied}, and
 * {@link MembershipEffect.Resumed} to every component that handles pauses.
 */
public final class MembershipList implements Component<MembershipInput, MembershipEffect> {

	/** Minimum time in milliseconds between syncs with members that returned. */
	private static final long RETURN_SYNC_INTERVAL_MS = 10_000;

	private final MembershipSettings settings;

	private final RandomGenerator random;

	private final MemberTable table;

	private final UpdateQueue updates = new UpdateQueue();

	private final FailureDetector detector;

	private Member self;

	private VersionStamp manifest = VersionStamp.NONE;

	private List<HostAddress> seeds = List.of();

	private List<MembershipEffect> effects = new ArrayList<>();

	private boolean viewChanged;

	private boolean timersStarted;

	private boolean resuming;

	private boolean hasJoined;

	private boolean isolated;

	private long currentTime;

	private long startedAt;

	private long lastReceivedAt;

	private long nextJoin;

	private long nextGossip;

	private long nextReconnect;

	private long nextSync;

	/** Mean time until the next sync; starts short and doubles with each sync. */
	private long syncDelay;

	private long nextReturnSync = Long.MIN_VALUE;

	/**
	 * Creates a member list that contains only this daemon.
	 * @param self the record of this daemon, with revision 0, phase
	 * {@link MemberPhase#STARTING} and status {@link MemberStatus#LIVE}; its incarnation
	 * must be higher than that of any earlier start of a daemon with this name
	 * @param settings the timing parameters and bounds
	 * @param random the random number generator, seeded in tests
	 */
	public MembershipList(Member self, MembershipSettings settings, RandomGenerator random) {
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.table = new MemberTable(self.region());
		this.detector = new FailureDetector(settings, random, this.table, new DetectorActions());
	}

	/**
	 * Returns the record of this daemon.
	 * @return the record
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Returns all members that count as live, including this daemon and members that are
	 * suspected or leaving.
	 * @return the records
	 */
	public List<Member> live() {
		List<Member> members = this.table.live(true);
		members.add(this.self);
		return members;
	}

	/**
	 * Returns the number of members that have not been declared dead, this daemon
	 * included.
	 * @return the number of members
	 */
	public int liveCount() {
		return this.table.liveCount() + 1;
	}

	/**
	 * Returns whether another daemon counts as live in this view.
	 * @param name the daemon's name
	 * @return whether it is known, has not been declared dead and is reachable
	 */
	public boolean isLive(String name) {
		Entry entry = this.table.get(name);
		return entry != null && !entry.isDead() && !entry.isUnreachable();
	}

	/**
	 * Returns whether joining has ended, either because a member answered or by time-out.
	 * @return whether the view is as complete as it can be
	 */
	public boolean hasJoined() {
		return this.hasJoined;
	}

	@Override
	public List<MembershipEffect> handle(long now, MembershipInput input) {
		advanceTime(now);
		switch (input) {
			case MembershipInput.Received received -> receive(now, received.from(), received.message());
			case MembershipInput.SeedsChanged change -> this.seeds = change.addresses();
			case MembershipInput.PhaseChanged change -> publishPhase(now, change.phase());
			case MembershipInput.ManifestApplied manifestChange -> this.manifest = manifestChange.stamp();
			case MembershipInput.Stopped stopped -> announceShutdown();
		}
		return drainEffects();
	}

	@Override
	public List<MembershipEffect> tick(long now) {
		advanceTime(now);
		this.resuming = false;
		if (!this.hasJoined && now >= this.nextJoin) {
			join(now);
		}
		this.detector.tick(now);
		if (now >= this.nextGossip) {
			this.nextGossip = now + this.settings.gossipInterval();
			pushUpdates();
		}
		if (now >= this.nextReconnect) {
			this.nextReconnect = now + this.settings.reconnectInterval();
			this.table.removeDeadSince(now - this.settings.deadRetention());
			reconnect();
			checkIsolation(now);
		}
		if (now >= this.nextSync) {
			this.syncDelay = Math.min(2 * this.syncDelay, this.settings.syncInterval());
			this.nextSync = now + this.syncDelay / 2 + this.random.nextLong(this.syncDelay);
			Entry entry = this.table.randomLive(this.random);
			if (entry != null) {
				requestSync(entry.member().address());
			}
		}
		return drainEffects();
	}

	@Override
	public long nextTick() {
		if (!this.timersStarted) {
			return 0;
		}
		long next = Math.min(this.detector.nextTick(), Math.min(this.nextReconnect, this.nextSync));
		if (this.updates.hasUrgent(this.currentTime)) {
			next = Math.min(next, this.nextGossip);
		}
		return (this.hasJoined) ? next : Math.min(next, this.nextJoin);
	}

	private void advanceTime(long now) {
		this.currentTime = now;
		if (!this.timersStarted) {
			this.timersStarted = true;
			this.startedAt = now;
			this.lastReceivedAt = now;
			this.nextJoin = now;
			this.nextGossip = now;
			this.nextReconnect = now + this.random.nextLong(this.settings.reconnectInterval());
			this.syncDelay = this.settings.probeInterval();
			this.nextSync = now + this.syncDelay;
			this.detector.start(now);
			return;
		}
		long latenessMs = now - nextTick();
		// Inputs that arrive before the late tick belong to the same pause.
		if (latenessMs > this.settings.pauseThreshold() && !this.resuming) {
			this.resuming = true;
			onPause(now, latenessMs);
		}
	}

	private void onPause(long now, long latenessMs) {
		report(MembershipEvent.PAUSED, latenessMs);
		this.effects.add(new MembershipEffect.Resumed(latenessMs));
		this.detector.suppressSuspicions(now + this.settings.joinTimeout());
		this.lastReceivedAt = now;
		this.nextReconnect = now;
		for (Entry entry : this.table.randomLive(this.random, this.settings.relayCount(), null)) {
			requestSync(entry.member().address());
		}
	}

	private void join(long now) {
		if (now - this.startedAt >= this.settings.joinTimeout()) {
			this.hasJoined = true;
			this.effects.add(new MembershipEffect.Joined(false));
			report(MembershipEvent.ALONE, this.settings.joinTimeout());
			return;
		}
		this.nextJoin = now + this.settings.joinRetryInterval();
		for (int i = 0; i < this.settings.relayCount(); i++) {
			HostAddress seed = randomSeed();
			if (seed != null) {
				requestSync(seed);
			}
		}
	}

	private @Nullable HostAddress randomSeed() {
		HostAddress seed = (this.seeds.isEmpty()) ? null : this.seeds.get(this.random.nextInt(this.seeds.size()));
		return this.self.address().equals(seed) ? null : seed;
	}

	private void reconnect() {
		Entry entry = this.table.randomDead(this.random);
		HostAddress seed = randomSeed();
		if (entry != null && (seed == null || this.random.nextBoolean())) {
			ping(this.detector.newPingNumber(), entry.member().address(), entry.member().name());
		}
		else if (seed != null && this.table.live(true).stream().noneMatch((member) -> member.address().equals(seed))) {
			ping(this.detector.newPingNumber(), seed, null);
		}
	}

	private void checkIsolation(long now) {
		if (!this.isolated && this.table.liveCount() > 0
				&& now - this.lastReceivedAt >= this.settings.isolationTimeout()) {
			this.isolated = true;
			report(MembershipEvent.ISOLATED, now - this.lastReceivedAt);
		}
	}

	private void endIsolation(long now) {
		this.isolated = false;
		// No member answered, so the fault was this daemon's own and its suspicions
		// cannot be trusted.
		this.detector.suppressSuspicions(now + this.settings.probeInterval());
		this.viewChanged |= this.table.markAllReachable();
		report(MembershipEvent.CONNECTED);
	}

	private void pushUpdates() {
		if (!this.updates.hasUrgent(this.currentTime) || this.table.liveCount() == 0) {
			return;
		}
		List<Member> changedRecords = takeUpdates(null);
		for (Entry entry : this.table.randomLive(this.random, this.settings.gossipFanout(), null)) {
			send(entry.member().address(), new MembershipMessage.Gossip(this.self, changedRecords));
		}
	}

	private void publishPhase(long now, MemberPhase phase) {
		if (phase != this.self.phase()) {
			this.self = this.self.withRevisionAndPhase(this.self.revision() + 1, phase);
			this.updates.add(now, this.self);
			this.viewChanged = true;
			audit(now, this.self, Map.of("phase", phase.toString()));
		}
	}

	private void announceShutdown() {
		this.self = this.self.withRevisionAndPhase(this.self.revision() + 1, MemberPhase.LEAVING)
			.withStatus(MemberStatus.DEAD);
		for (Entry entry : this.table.randomLive(this.random, 2 * this.settings.gossipFanout(), null)) {
			send(entry.member().address(), new MembershipMessage.Gossip(this.self, List.of()));
		}
	}

	private void receive(long now, HostAddress from, MembershipMessage message) {
		Member sender = message.sender();
		if (sender.name().equals(this.self.name())) {
			merge(now, sender);
			return;
		}
		if (this.isolated) {
			endIsolation(now);
		}
		this.lastReceivedAt = now;
		Entry knownSender = this.table.get(sender.name());
		boolean senderReturned = knownSender == null || knownSender.isDead();
		recordContact(now, sender);
		message.updates().forEach((update) -> merge(now, update));
		switch (message) {
			case MembershipMessage.Ping ping -> {
				send(from, new MembershipMessage.Acknowledgement(ping.number(), this.self, this.manifest,
						takeUpdates(sender.name())));
				this.effects.add(new MembershipEffect.ManifestReported(from, ping.manifest()));
			}
			case MembershipMessage.Acknowledgement acknowledgement -> {
				this.detector.onAcknowledgement(now, acknowledgement.number(), sender);
				this.effects.add(new MembershipEffect.ManifestReported(from, acknowledgement.manifest()));
				if (senderReturned) {
					syncWithReturnedMember(now, from);
				}
			}
			case MembershipMessage.IndirectPing ping -> {
				send(from, new MembershipMessage.IndirectReply(ping.number(), this.self, takeUpdates(sender.name()),
						false));
				this.detector.relayPing(now, from, ping.number(), ping.target(), ping.updates());
			}
			case MembershipMessage.IndirectReply reply ->
				this.detector.onIndirectReply(reply.number(), reply.reached());
			case MembershipMessage.Gossip gossip -> {
			}
			case MembershipMessage.SyncRequest request -> sendDifferingRecords(from, request.digest());
			case MembershipMessage.SyncReply reply -> onSyncReply(reply);
		}
	}

	private void recordContact(long now, Member sender) {
		merge(now, sender);
		this.detector.onMessageFrom(sender.name());
		Entry entry = this.table.get(sender.name());
		if (entry != null && entry.isUnreachable()) {
			entry.setUnreachable(false);
			this.viewChanged = true;
			report(MembershipEvent.LIVE, sender.id());
		}
	}

	private void syncWithReturnedMember(long now, HostAddress from) {
		if (now >= this.nextReturnSync) {
			this.nextReturnSync = now + RETURN_SYNC_INTERVAL_MS;
			requestSync(from);
		}
	}

	private void requestSync(HostAddress from) {
		List<Long> digest = List.of();
		if (this.table.liveCount() > 0) {
			MemberDigest ownDigest = this.table.digest();
			ownDigest.toggle(this.self);
			digest = ownDigest.values();
			ownDigest.toggle(this.self);
		}
		send(from, new MembershipMessage.SyncRequest(this.self, digest));
	}

	private void sendDifferingRecords(HostAddress to, List<Long> digest) {
		MemberDigest ownDigest = this.table.digest();
		ownDigest.toggle(this.self);
		List<Member> differingRecords = this.table.live(false);
		differingRecords.removeIf((member) -> !ownDigest.hasDifferentBucket(member.name(), digest));
		ownDigest.toggle(this.self);
		int pageSize = this.settings.syncPageSize();
		for (int start = 0; start == 0 || start < differingRecords.size(); start += pageSize) {
			int end = Math.min(start + pageSize, differingRecords.size());
			send(to, new MembershipMessage.SyncReply(this.self, differingRecords.subList(start, end),
					end == differingRecords.size()));
		}
	}

	private void onSyncReply(MembershipMessage.SyncReply reply) {
		if (reply.last()) {
			this.detector.allowSuspicions();
			if (!this.hasJoined) {
				this.hasJoined = true;
				this.effects.add(new MembershipEffect.Joined(true));
				report(MembershipEvent.JOINED, reply.sender().id(), this.table.liveCount());
			}
		}
	}

	private void merge(long now, Member record) {
		if (record.name().equals(this.self.name())) {
			refute(now, record);
			return;
		}
		Entry entry = this.table.get(record.name());
		if (entry == null) {
			if (record.status() == MemberStatus.DEAD) {
				return;
			}
			if (this.table.size() >= this.settings.maximumMembers()) {
				report(MembershipEvent.TABLE_FULL, record.id(), this.table.size());
				return;
			}
			replace(now, null, record);
		}
		else if (record.canReplace(entry.member())) {
			replace(now, entry.member(), record);
		}
		else {
			this.updates.recordDuplicate(record);
		}
	}

	private void replace(long now, @Nullable Member old, Member record) {
		this.table.put(now, record);
		this.updates.add(now, record);
		this.viewChanged = true;
		boolean dead = record.status() == MemberStatus.DEAD;
		if (old == null || !old.id().equals(record.id()) || dead != (old.status() == MemberStatus.DEAD)) {
			report((dead) ? MembershipEvent.DEAD : MembershipEvent.LIVE, record.id());
			audit(now, record, Map.of("status", record.status().toString(), "phase", record.phase().toString()));
		}
		else if (record.phase() != old.phase()) {
			if (record.phase() == MemberPhase.LEAVING) {
				report(MembershipEvent.LEAVING, record.id());
			}
			audit(now, record, Map.of("phase", record.phase().toString()));
		}
	}

	private void refute(long now, Member record) {
		if (!record.address().equals(this.self.address())) {
			report(MembershipEvent.DUPLICATE_NAME, record.name(), record.address(), this.self.address());
		}
		boolean sameIncarnation = record.id().equals(this.self.id());
		if (sameIncarnation && record.status() != MemberStatus.LIVE && record.revision() >= this.self.revision()) {
			this.self = this.self.withRevisionAndPhase(record.revision() + 1, this.self.phase());
			this.updates.add(now, this.self);
			report(MembershipEvent.REFUTED, record.status(), this.self.revision());
			audit(now, this.self, Map.of("refuted", record.status().toString()));
		}
	}

	private void ping(long number, HostAddress target, @Nullable String name) {
		send(target, new MembershipMessage.Ping(number, this.self, this.manifest, takeUpdates(name)));
	}

	/**
	 * Selects the records to piggyback on a message. If the receiver's own record is not
	 * live, it comes first, so that the receiver can refute it.
	 * @param name the name of the receiver, or {@code null} if it is unknown
	 * @return the records
	 */
	private List<Member> takeUpdates(@Nullable String name) {
		List<Member> records = this.updates.take(this.currentTime, this.settings.updatesPerMessage(),
				this.table.liveCount());
		Entry entry = (name != null) ? this.table.get(name) : null;
		if (entry != null && entry.member().status() != MemberStatus.LIVE) {
			records.remove(entry.member());
			records.addFirst(entry.member());
		}
		return records;
	}

	private void send(HostAddress to, MembershipMessage message) {
		this.effects.add(new MembershipEffect.Send(to, message));
	}

	private void report(MembershipEvent event, Object... parameters) {
		this.effects.add(new MembershipEffect.Report(event, List.of(parameters)));
	}

	private void audit(long now, Member member, Map<String, String> evidence) {
		this.effects.add(new MembershipEffect.Audit(new AuditEntry(now, AuditKind.MEMBER, member.id().toString(),
				Step.MEMBERSHIP, this.self.name(), evidence)));
	}

	private List<MembershipEffect> drainEffects() {
		if (this.viewChanged) {
			this.viewChanged = false;
			this.effects.add(new MembershipEffect.MembersChanged());
		}
		List<MembershipEffect> result = this.effects;
		this.effects = new ArrayList<>();
		return result;
	}

	/** Carries out the decisions of the failure detector. */
	private final class DetectorActions implements FailureDetector.Actions {

		@Override
		public void ping(long number, HostAddress target, @Nullable String name) {
			MembershipList.this.ping(number, target, name);
		}

		@Override
		public void pingIndirectly(HostAddress relay, long number, HostAddress target, String name) {
			Entry entry = MembershipList.this.table.get(name);
			List<Member> targetRecord = (entry != null) ? List.of(entry.member()) : List.of();
			send(relay, new MembershipMessage.IndirectPing(number, MembershipList.this.self, target, targetRecord));
		}

		@Override
		public void replyIndirectly(HostAddress origin, long number, Member target) {
			send(origin, new MembershipMessage.IndirectReply(number, MembershipList.this.self, List.of(target), true));
		}

		@Override
		public void suspect(long now, String name) {
			updateStatus(now, name, MemberStatus.SUSPECTED);
		}

		@Override
		public void declareDead(long now, String name) {
			updateStatus(now, name, MemberStatus.DEAD);
		}

		@Override
		public void markUnreachable(long now, String name) {
			Entry entry = MembershipList.this.table.get(name);
			if (entry != null && !entry.isUnreachable()) {
				entry.setUnreachable(true);
				MembershipList.this.viewChanged = true;
				report(MembershipEvent.DEAD, entry.member().id());
				audit(now, entry.member(), Map.of("status", "unreachable from here"));
			}
		}

		private void updateStatus(long now, String name, MemberStatus status) {
			Entry entry = MembershipList.this.table.get(name);
			if (entry != null) {
				merge(now, entry.member().withStatus(status));
			}
		}

	}

}
