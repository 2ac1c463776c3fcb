package org.wigeonmast.balance.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * The table of the live daemons of the fleet, which it keeps by gossip; it also sends
 * observations of backend servers to them.
 * <p>
 * Thread safety: none; the control thread owns it. In each period a daemon sends
 * heartbeats to a few random peers, which list other daemons with the time since they
 * were last seen; a daemon that nobody has seen for {@link #LOST_AFTER_MS} is removed.
 * Nothing depends on agreement: a wrong table costs a few datagrams or delays
 * observations. Invariant: the table never contains this daemon.
 */
public final class PeerTable implements Component<PeerTableInput, PeerTableEffect> {

	/** Time in milliseconds after which a daemon that nobody has seen is removed. */
	public static final long LOST_AFTER_MS = 12_000;

	/** Period in milliseconds of heartbeats. */
	private static final long HEARTBEAT_PERIOD_MS = 1000;

	/** Period in milliseconds of heartbeats to the seeds while no daemon is known. */
	private static final long JOIN_PERIOD_MS = 300;

	/** Number of peers of the own region that get a heartbeat in each period. */
	private static final int HEARTBEATS_IN_REGION = 2;

	/** Number of periods after which a peer of any region gets a heartbeat as well. */
	private static final int PERIODS_PER_ANY_REGION_HEARTBEAT = 3;

	/** Maximum number of other daemons in a heartbeat. */
	private static final int MAX_LISTED_MEMBERS = 16;

	/** Maximum number of other daemons in the answer to a daemon that knows none. */
	private static final int MAX_MEMBERS_LISTED_TO_NEW_PEER = 100;

	/** Time in milliseconds since a daemon was last seen from which it is not listed. */
	private static final long MAX_LISTED_AGE_MS = 6000;

	private final Map<HostAddress, PeerEntry> peers = new HashMap<>();

	private final List<PeerTableEffect> effects = new ArrayList<>();

	private final RandomGenerator random;

	private Peer self;

	private List<HostAddress> seeds = List.of();

	private long revision = -1;

	private long confirmedAt;

	private long steadySince = Long.MAX_VALUE;

	private long now;

	private long nextHeartbeatAt = NO_TIMER;

	private long heartbeatPeriods;

	/**
	 * Creates an empty table.
	 * @param address the address at which this daemon receives datagrams
	 * @param home the failure domain in which this daemon runs
	 * @param random the source of random numbers
	 */
	public PeerTable(HostAddress address, FailureDomain home, RandomGenerator random) {
		this.self = new Peer(address, home, false);
		this.random = random;
	}

	@Override
	public List<PeerTableEffect> handle(long now, PeerTableInput input) {
		this.now = now;
		switch (input) {
			case PeerTableInput.SeedsChanged seedsChange -> {
				this.seeds = seedsChange.addresses()
					.stream()
					.filter((address) -> !address.equals(this.self.address()))
					.toList();
				sendHeartbeats(now);
			}
			case PeerTableInput.MessageReceived delivery -> onMessage(now, delivery.message());
			case PeerTableInput.SendObservation observation -> sendObservation(observation);
			case PeerTableInput.RevisionConfirmed state -> {
				this.revision = state.revision();
				this.confirmedAt = state.confirmedAt();
				this.steadySince = state.steadySince();
			}
			case PeerTableInput.Leave _ -> {
				this.self = new Peer(this.self.address(), this.self.failureDomain(), true);
				this.peers.keySet().forEach((peer) -> send(peer, List.of(), List.of()));
			}
		}
		return drain();
	}

	@Override
	public List<PeerTableEffect> tick(long now) {
		this.now = now;
		if (this.nextHeartbeatAt <= now) {
			removeLostPeers(now);
			sendHeartbeats(now);
		}
		return drain();
	}

	@Override
	public long nextTick() {
		return this.nextHeartbeatAt;
	}

	private List<PeerTableEffect> drain() {
		List<PeerTableEffect> pending = List.copyOf(this.effects);
		this.effects.clear();
		return pending;
	}

	private void sendHeartbeats(long now) {
		this.nextHeartbeatAt = now + (this.peers.isEmpty() ? JOIN_PERIOD_MS : HEARTBEAT_PERIOD_MS);
		this.heartbeatPeriods++;
		if (this.peers.isEmpty()) {
			this.seeds.forEach((seed) -> send(seed, List.of(), List.of()));
			return;
		}
		List<HostAddress> regionPeers = new ArrayList<>();
		List<HostAddress> all = new ArrayList<>(this.peers.keySet());
		this.peers.values().forEach((entry) -> {
			if (isOwnRegion(entry.peer.failureDomain().region())) {
				regionPeers.add(entry.peer.address());
			}
		});
		for (int i = 0; i < HEARTBEATS_IN_REGION && !regionPeers.isEmpty(); i++) {
			HostAddress receiver = regionPeers.remove(this.random.nextInt(regionPeers.size()));
			send(receiver, sampleMembers(now, MAX_LISTED_MEMBERS), List.of());
		}
		if (this.heartbeatPeriods % PERIODS_PER_ANY_REGION_HEARTBEAT == 0) {
			send(all.get(this.random.nextInt(all.size())), sampleMembers(now, MAX_LISTED_MEMBERS), List.of());
		}
	}

	private List<PeerMessage.Member> sampleMembers(long now, int limit) {
		List<PeerMessage.Member> candidates = new ArrayList<>();
		for (PeerEntry entry : this.peers.values()) {
			if (now - entry.lastSeenAt < MAX_LISTED_AGE_MS) {
				candidates.add(new PeerMessage.Member(entry.peer, now - entry.lastSeenAt));
			}
		}
		List<PeerMessage.Member> sample = new ArrayList<>();
		while (sample.size() < limit && !candidates.isEmpty()) {
			int index = this.random.nextInt(candidates.size());
			sample.add(candidates.get(index));
			candidates.set(index, candidates.getLast());
			candidates.removeLast();
		}
		return sample;
	}

	private void onMessage(long now, PeerMessage message) {
		int before = this.peers.size();
		recordSeen(message.sender(), now);
		message.members().forEach((member) -> recordSeen(member.peer(), now - member.age()));
		if (isFromNewPeer(message)) {
			List<PeerMessage.Member> members = sampleMembers(now, MAX_MEMBERS_LISTED_TO_NEW_PEER);
			if (!members.isEmpty()) {
				send(message.sender().address(), members, List.of());
			}
		}
		if (this.peers.size() != before) {
			reportFleetSize();
		}
		message.observations()
			.forEach((observation) -> this.effects.add(new PeerTableEffect.ObservationReceived(observation)));
		message.suspicionReports().forEach((report) -> this.effects.add(new PeerTableEffect.SuspicionReceived(report)));
		if (!message.members().isEmpty()) {
			this.effects.add(new PeerTableEffect.LoadReceived(message.sender().address(), message.loads()));
		}
		if (message.revision() >= 0) {
			this.effects.add(new PeerTableEffect.PeerRevisionReceived(message.revision(), message.revisionAge(),
					message.steadyFor()));
		}
	}

	// Returns whether the sender knows no other daemon, because it has just started or
	// restarted.
	private static boolean isFromNewPeer(PeerMessage message) {
		return !message.sender().leaving() && message.members().isEmpty() && message.observations().isEmpty();
	}

	private void recordSeen(Peer peer, long at) {
		if (peer.address().equals(this.self.address())) {
			return;
		}
		if (peer.leaving()) {
			this.peers.remove(peer.address());
			return;
		}
		PeerEntry entry = this.peers.get(peer.address());
		if (entry == null) {
			this.peers.put(peer.address(), new PeerEntry(peer, at));
			log(BalanceEvent.PEER_LIVE, peer.address(), peer.failureDomain(), this.peers.size() + 1);
		}
		else if (at > entry.lastSeenAt) {
			entry.lastSeenAt = at;
		}
	}

	private void removeLostPeers(long now) {
		int before = this.peers.size();
		Iterator<PeerEntry> all = this.peers.values().iterator();
		while (all.hasNext()) {
			PeerEntry entry = all.next();
			if (now - entry.lastSeenAt > LOST_AFTER_MS) {
				all.remove();
				log(BalanceEvent.PEER_LOST, entry.peer.address(), entry.peer.failureDomain(), now - entry.lastSeenAt,
						this.peers.size() + 1);
			}
		}
		if (this.peers.size() != before) {
			reportFleetSize();
		}
	}

	private void sendObservation(PeerTableInput.SendObservation input) {
		List<ServerObservation> observations = List.of(input.observation());
		for (PeerEntry entry : this.peers.values()) {
			Region region = entry.peer.failureDomain().region();
			if (isOwnRegion(region) || region.equals(input.region())) {
				send(entry.peer.address(), List.of(), observations);
			}
		}
	}

	private boolean isOwnRegion(Region region) {
		return region.equals(this.self.failureDomain().region());
	}

	private void send(HostAddress receiver, List<PeerMessage.Member> members, List<ServerObservation> observations) {
		this.effects.add(new PeerTableEffect.Send(receiver,
				new PeerMessage(this.self, this.revision, Math.max(0, this.now - this.confirmedAt),
						Math.max(0, this.now - this.steadySince), members, observations, List.of(), List.of()),
				observations.isEmpty()));
	}

	private void reportFleetSize() {
		this.effects.add(new PeerTableEffect.FleetSizeChanged(this.peers.size() + 1));
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.add(new PeerTableEffect.Logged(event, List.of(parameters)));
	}

	/** A peer and the monotonic time in milliseconds at which any daemon last saw it. */
	private static final class PeerEntry {

		private final Peer peer;

		private long lastSeenAt;

		private PeerEntry(Peer peer, long lastSeenAt) {
			this.peer = peer;
			this.lastSeenAt = lastSeenAt;
		}

	}

}
