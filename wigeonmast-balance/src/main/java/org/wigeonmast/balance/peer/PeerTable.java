package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * The table of the live daemons of the fleet, which it keeps by gossip and probes; it
 * also sends observations of backend servers to them.
 * <p>
 * Thread safety: none; the control thread owns it. A daemon sends heartbeats to a
 * constant number of random peers in each period. A peer that acknowledges none of
 * {@link #MAX_TRIES} messages is suspected; the news reaches the whole fleet, and a peer
 * that does not refute it within {@link #SUSPICION_MS} is gone. So the traffic of a
 * daemon and the time until a dead daemon is gone do not depend on the size of the fleet,
 * and a live daemon stays in the table however rarely it is contacted. Nothing depends on
 * agreement: a wrong table costs a few datagrams or delays observations. Invariant: the
 * table never contains this daemon.
 */
public final class PeerTable implements Component<PeerTableInput, PeerTableEffect> {

	/**
	 * Time in milliseconds within which a daemon that stopped without notice is removed
	 * from the tables of the fleet.
	 */
	public static final long LOST_AFTER_MS = 12_000;

	/** Period in milliseconds of heartbeats. */
	private static final long HEARTBEAT_PERIOD_MS = 1000;

	/** Period in milliseconds of messages to the seeds while no daemon is known. */
	private static final long JOIN_PERIOD_MS = 300;

	/** Number of peers of the own region that get a heartbeat in each period. */
	private static final int HEARTBEATS_IN_REGION = 2;

	/** Number of periods after which a peer of any region gets a heartbeat as well. */
	private static final int PERIODS_PER_ANY_REGION_HEARTBEAT = 3;

	/** Number of random peers that are drawn to find one of the own region. */
	private static final int MAX_REGION_DRAWS = 16;

	/** Time in milliseconds after which an unanswered probe is repeated. */
	private static final long PROBE_TIMEOUT_MS = 400;

	/** Number of unanswered messages after which a peer is suspected. */
	private static final int MAX_TRIES = 3;

	/** Time in milliseconds in which a suspected peer can refute the suspicion. */
	private static final long SUSPICION_MS = 3000;

	/** Time in milliseconds for which news are collected before they are passed on. */
	private static final long NEWS_DELAY_MS = 100;

	/** Number of random peers to which news are passed on. */
	private static final int NEWS_RECEIVERS = 4;

	/** Maximum number of changes in one message of news. */
	private static final int MAX_NEWS = 48;

	/** Maximum number of recent changes in a heartbeat. */
	private static final int MAX_HEARTBEAT_NEWS = 8;

	/** Maximum number of random members in a heartbeat. */
	private static final int MAX_HEARTBEAT_MEMBERS = 8;

	/** Maximum number of members in one message to a daemon that knows none. */
	private static final int MAX_LISTED_MEMBERS = 80;

	/**
	 * Time in milliseconds without a change after which a peer with another table gets
	 * all members.
	 */
	private static final long SETTLED_AFTER_MS = 250;

	/** Minimum time in milliseconds between two such lists. */
	private static final long MIN_LIST_INTERVAL_MS = 400;

	/**
	 * Time in milliseconds by which each member prolongs that interval, which bounds the
	 * traffic of large fleets.
	 */
	private static final long LIST_INTERVAL_PER_MEMBER_MS = 2;

	/**
	 * Delay of a timer in milliseconds from which this daemon itself was paused, so that
	 * missing answers say nothing about its peers.
	 */
	private static final long PAUSE_MS = 500;

	private final PeerMembers members;

	private final PeerNews news = new PeerNews();

	private final Map<HostAddress, Probe> probes = new HashMap<>();

	private final Map<HostAddress, Long> suspicionEnds = new HashMap<>();

	private final List<PeerTableEffect> effects = new ArrayList<>();

	private Member self;

	private List<HostAddress> seeds = List.of();

	private long revision = -1;

	private long confirmedAt;

	private long steadySince = Long.MAX_VALUE;

	private long now;

	private long nextHeartbeatAt = NO_TIMER;

	private long newsDueAt = NO_TIMER;

	private long heartbeatPeriods;

	private int reportedSize = 1;

	private long changedAt;

	private long nextListAt;

	/**
	 * Creates an empty table.
	 * @param address the address at which this daemon receives datagrams
	 * @param home the failure domain in which this daemon runs
	 * @param incarnation a number that is higher than at earlier starts of this daemon; a
	 * lower one only delays its return to the tables of its peers
	 * @param random the source of random numbers
	 */
	public PeerTable(HostAddress address, FailureDomain home, long incarnation, RandomGenerator random) {
		this.self = new Member(new Peer(address, home), incarnation, MemberState.ALIVE);
		this.members = new PeerMembers(random);
	}

	@Override
	public List<PeerTableEffect> handle(long now, PeerTableInput input) {
		this.now = now;
		switch (input) {
			case PeerTableInput.SeedsChanged seedsChange -> {
				this.seeds = seedsChange.addresses()
					.stream()
					.filter((address) -> !address.equals(selfAddress()))
					.toList();
				sendHeartbeats();
			}
			case PeerTableInput.MessageReceived delivery -> onMessage(delivery.message());
			case PeerTableInput.SendObservation observation -> sendObservation(observation);
			case PeerTableInput.RevisionConfirmed state -> {
				this.revision = state.revision();
				this.confirmedAt = state.confirmedAt();
				this.steadySince = state.steadySince();
			}
			case PeerTableInput.Leave _ -> leave();
		}
		return drain();
	}

	@Override
	public List<PeerTableEffect> tick(long now) {
		this.now = now;
		forgivePause(now - nextTick());
		if (this.newsDueAt <= now) {
			passOnNews();
		}
		checkProbes();
		endSuspicions();
		if (this.nextHeartbeatAt <= now) {
			sendHeartbeats();
		}
		return drain();
	}

	@Override
	public long nextTick() {
		long next = Math.min(this.nextHeartbeatAt, this.newsDueAt);
		for (Probe probe : this.probes.values()) {
			next = Math.min(next, probe.dueAt);
		}
		for (long end : this.suspicionEnds.values()) {
			next = Math.min(next, end);
		}
		return next;
	}

	private List<PeerTableEffect> drain() {
		if (this.reportedSize != this.members.liveCount() + 1) {
			this.reportedSize = this.members.liveCount() + 1;
			this.effects.add(new PeerTableEffect.FleetSizeChanged(this.reportedSize));
		}
		List<PeerTableEffect> pending = List.copyOf(this.effects);
		this.effects.clear();
		return pending;
	}

	private void sendHeartbeats() {
		this.nextHeartbeatAt = this.now + ((this.members.liveCount() == 0) ? JOIN_PERIOD_MS : HEARTBEAT_PERIOD_MS);
		this.heartbeatPeriods++;
		if (this.members.liveCount() == 0) {
			this.seeds.forEach((seed) -> send(PeerMessage.Kind.JOIN, seed, List.of()));
		}
		for (int i = 0; i < HEARTBEATS_IN_REGION; i++) {
			sendHeartbeat(anyLiveInRegion());
		}
		if (this.heartbeatPeriods % PERIODS_PER_ANY_REGION_HEARTBEAT == 0) {
			sendHeartbeat(this.members.anyLive());
		}
		Member lost = this.members.anyGone(this.now);
		if (lost != null) {
			send(PeerMessage.Kind.PROBE, lost.peer().address(), List.of());
		}
	}

	private void sendHeartbeat(@Nullable Member receiver) {
		if (receiver == null) {
			return;
		}
		HostAddress address = receiver.peer().address();
		List<Member> listed = new ArrayList<>(this.news.latest(this.now, MAX_HEARTBEAT_NEWS));
		listed.addAll(this.members.sampleLive(MAX_HEARTBEAT_MEMBERS));
		send(PeerMessage.Kind.HEARTBEAT, address, listed);
		this.probes.putIfAbsent(address, new Probe(this.now + PROBE_TIMEOUT_MS));
	}

	private @Nullable Member anyLiveInRegion() {
		for (int i = 0; i < MAX_REGION_DRAWS; i++) {
			Member drawn = this.members.anyLive();
			if (drawn != null
					&& drawn.peer().failureDomain().region().equals(this.self.peer().failureDomain().region())) {
				return drawn;
			}
		}
		return null;
	}

	private void onMessage(PeerMessage message) {
		Member sender = message.sender();
		HostAddress address = sender.peer().address();
		if (address.equals(selfAddress())) {
			return;
		}
		onSender(sender);
		message.members().forEach((member) -> onMember(member, address));
		answer(message, address);
		message.observations()
			.forEach((observation) -> this.effects.add(new PeerTableEffect.ObservationReceived(observation)));
		message.suspicionReports().forEach((report) -> this.effects.add(new PeerTableEffect.SuspicionReceived(report)));
		if (message.kind() == PeerMessage.Kind.HEARTBEAT) {
			this.effects.add(new PeerTableEffect.LoadReceived(address, message.loads()));
		}
		if (message.revision() >= 0) {
			this.effects.add(new PeerTableEffect.PeerRevisionReceived(message.revision(), message.revisionAge(),
					message.steadyFor()));
		}
	}

	// A message proves that its sender lives, unless it says that the sender leaves or
	// the fleet has removed this incarnation of it.
	private void onSender(Member sender) {
		HostAddress address = sender.peer().address();
		this.probes.remove(address);
		if (sender.state() != MemberState.GONE && this.suspicionEnds.remove(address) != null) {
			this.members.clearSuspicion(address);
		}
		apply(sender);
		Member known = this.members.find(address);
		if (sender.state() != MemberState.GONE && known != null && known.state() == MemberState.GONE) {
			// The sender refutes it with a higher incarnation.
			send(PeerMessage.Kind.NEWS, address, List.of(known));
		}
	}

	private void onMember(Member member, HostAddress informant) {
		if (!member.peer().address().equals(selfAddress())) {
			apply(member);
		}
		else if (member.state() != MemberState.ALIVE && member.incarnation() >= this.self.incarnation()
				&& this.self.state() == MemberState.ALIVE) {
			this.self = new Member(this.self.peer(), member.incarnation() + 1, MemberState.ALIVE);
			addNews(this.self);
			send(PeerMessage.Kind.NEWS, informant, List.of());
		}
	}

	private void apply(Member member) {
		Member before = this.members.find(member.peer().address());
		if (!this.members.apply(this.now, member)) {
			return;
		}
		this.changedAt = this.now;
		boolean wasLive = before != null && before.state() != MemberState.GONE;
		HostAddress address = member.peer().address();
		if (member.state() == MemberState.SUSPECT) {
			this.suspicionEnds.putIfAbsent(address, this.now + SUSPICION_MS);
		}
		else {
			this.suspicionEnds.remove(address);
		}
		if (member.state() == MemberState.GONE) {
			this.probes.remove(address);
			if (wasLive) {
				log(BalanceEvent.PEER_LOST, address, member.peer().failureDomain(), this.members.liveCount() + 1);
			}
		}
		else if (!wasLive) {
			log(BalanceEvent.PEER_LIVE, address, member.peer().failureDomain(), this.members.liveCount() + 1);
		}
		// Only daemons that knew a daemon as live need to tell that it is gone.
		if (wasLive || member.state() != MemberState.GONE) {
			addNews(member);
		}
	}

	private void answer(PeerMessage message, HostAddress sender) {
		switch (message.kind()) {
			case HEARTBEAT -> {
				send(PeerMessage.Kind.ACKNOWLEDGEMENT, sender, List.of());
				if (message.membersDigest() != this.members.digest(this.self)) {
					sendMembersIfDue(sender);
				}
			}
			case PROBE -> send(PeerMessage.Kind.ACKNOWLEDGEMENT, sender, List.of());
			case JOIN -> sendMembers(sender, List.copyOf(this.members.live()));
			case ACKNOWLEDGEMENT, NEWS -> {
				// These expect no answer.
			}
		}
	}

	// Tables differ while news are under way; a difference that remains is repaired by a
	// list of all members.
	private void sendMembersIfDue(HostAddress receiver) {
		if (this.now >= this.nextListAt && this.now - this.changedAt >= SETTLED_AFTER_MS) {
			this.nextListAt = this.now + MIN_LIST_INTERVAL_MS + LIST_INTERVAL_PER_MEMBER_MS * this.members.liveCount();
			sendMembers(receiver, this.members.liveAndLatelyGone(this.now));
		}
	}

	private void sendMembers(HostAddress receiver, List<Member> all) {
		for (int start = 0; start < all.size(); start += MAX_LISTED_MEMBERS) {
			send(PeerMessage.Kind.NEWS, receiver, all.subList(start, Math.min(all.size(), start + MAX_LISTED_MEMBERS)));
		}
	}

	private void checkProbes() {
		List<HostAddress> unanswered = new ArrayList<>();
		this.probes.forEach((address, probe) -> {
			if (probe.dueAt <= this.now) {
				unanswered.add(address);
			}
		});
		for (HostAddress address : unanswered) {
			Probe probe = this.probes.get(address);
			if (probe.tries < MAX_TRIES) {
				probe.tries++;
				probe.dueAt = this.now + PROBE_TIMEOUT_MS;
				send(PeerMessage.Kind.PROBE, address, List.of());
			}
			else {
				this.probes.remove(address);
				suspect(address);
			}
		}
	}

	private void suspect(HostAddress address) {
		Member member = this.members.find(address);
		if (member != null && member.state() == MemberState.ALIVE) {
			apply(member.withState(MemberState.SUSPECT));
		}
	}

	private void endSuspicions() {
		List<HostAddress> ended = new ArrayList<>();
		this.suspicionEnds.forEach((address, end) -> {
			if (end <= this.now) {
				ended.add(address);
			}
		});
		for (HostAddress address : ended) {
			Member member = this.members.find(address);
			this.suspicionEnds.remove(address);
			if (member != null && member.state() == MemberState.SUSPECT) {
				apply(member.withState(MemberState.GONE));
			}
		}
	}

	private void forgivePause(long delay) {
		if (delay >= PAUSE_MS) {
			this.probes.clear();
			this.suspicionEnds.replaceAll((address, end) -> end + delay);
		}
	}

	private void addNews(Member member) {
		this.news.add(this.now, member);
		this.newsDueAt = Math.min(this.newsDueAt, this.now + NEWS_DELAY_MS);
	}

	private void passOnNews() {
		List<Member> changes = this.news.takePending(MAX_NEWS);
		this.newsDueAt = this.news.hasPending() ? this.now + NEWS_DELAY_MS : NO_TIMER;
		this.members.sampleLive(NEWS_RECEIVERS)
			.forEach((member) -> send(PeerMessage.Kind.NEWS, member.peer().address(), changes));
	}

	private void sendObservation(PeerTableInput.SendObservation input) {
		List<Peer> peers = this.members.live().stream().map(Member::peer).toList();
		PeerMessage message = message(PeerMessage.Kind.NEWS, List.of(), List.of(input.observation()));
		ObservationAudience.select(this.self.peer().failureDomain(), input.serverDomain(), peers)
			.forEach((receiver) -> this.effects.add(new PeerTableEffect.Send(receiver, message)));
	}

	private void leave() {
		this.self = this.self.withState(MemberState.GONE);
		this.members.live().forEach((member) -> send(PeerMessage.Kind.NEWS, member.peer().address(), List.of()));
	}

	private HostAddress selfAddress() {
		return this.self.peer().address();
	}

	private void send(PeerMessage.Kind kind, HostAddress receiver, List<Member> listed) {
		this.effects.add(new PeerTableEffect.Send(receiver, message(kind, listed, List.of())));
	}

	private PeerMessage message(PeerMessage.Kind kind, List<Member> listed, List<ServerObservation> observations) {
		int digest = (kind == PeerMessage.Kind.HEARTBEAT) ? this.members.digest(this.self) : 0;
		return new PeerMessage(kind, this.self, digest, this.revision, Math.max(0, this.now - this.confirmedAt),
				Math.max(0, this.now - this.steadySince), listed, observations, List.of(), List.of());
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.add(new PeerTableEffect.Logged(event, List.of(parameters)));
	}

	/** A peer that has not acknowledged the last messages. */
	private static final class Probe {

		private long dueAt;

		private int tries = 1;

		private Probe(long dueAt) {
			this.dueAt = dueAt;
		}

	}

}
