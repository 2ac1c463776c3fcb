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
 * were last seen; a daemon that nobody has seen for {@link #LOST_AFTER} is removed.
 * Nothing depends on agreement: a wrong table costs a few datagrams or delays
 * observations. Invariant: the table never contains this daemon.
 */
public final class PeerRoster implements Component<RosterInput, RosterEffect> {

	/** Time in milliseconds after which a daemon that nobody has seen is removed. */
	public static final long LOST_AFTER = 12_000;

	/** Period in milliseconds of heartbeats. */
	private static final long GREETING_PERIOD = 1000;

	/** Period in milliseconds of heartbeats to the seeds while no daemon is known. */
	private static final long JOINING_PERIOD = 300;

	/** Number of peers of the own region that get a heartbeat in each period. */
	private static final int GREETED_IN_REGION = 2;

	/** Number of periods after which a peer of any region gets a heartbeat as well. */
	private static final int DISTANT_EVERY = 3;

	/** Maximum number of other daemons in a heartbeat. */
	private static final int NAMED = 16;

	/** Maximum number of other daemons in the answer to a daemon that knows none. */
	private static final int NAMED_TO_NEWCOMER = 100;

	/** Time in milliseconds since a daemon was last seen from which it is not listed. */
	private static final long NAMED_BELOW = 6000;

	private final Map<HostAddress, Known> peers = new HashMap<>();

	private final List<RosterEffect> effects = new ArrayList<>();

	private final RandomGenerator random;

	private Peer self;

	private List<HostAddress> seeds = List.of();

	private long revision = -1;

	private long confirmedAt;

	private long steadySince = Long.MAX_VALUE;

	private long now;

	private long nextGreeting = NO_TIMER;

	private long greetings;

	/**
	 * Creates an empty table.
	 * @param address the address at which this daemon receives datagrams
	 * @param home the failure domain in which this daemon runs
	 * @param random the source of random numbers
	 */
	public PeerRoster(HostAddress address, FailureDomain home, RandomGenerator random) {
		this.self = new Peer(address, home, false);
		this.random = random;
	}

	@Override
	public List<RosterEffect> handle(long now, RosterInput input) {
		this.now = now;
		switch (input) {
			case RosterInput.Seeds changed -> {
				this.seeds = changed.addresses()
					.stream()
					.filter((address) -> !address.equals(this.self.address()))
					.toList();
				greet(now);
			}
			case RosterInput.Received received -> received(now, received.message());
			case RosterInput.SendObservation observation -> sendObservation(observation);
			case RosterInput.Revision known -> {
				this.revision = known.revision();
				this.confirmedAt = known.confirmedAt();
				this.steadySince = known.steadySince();
			}
			case RosterInput.Leave _ -> {
				this.self = new Peer(this.self.address(), this.self.failureDomain(), true);
				this.peers.keySet().forEach((peer) -> send(peer, List.of(), List.of()));
			}
		}
		return drain();
	}

	@Override
	public List<RosterEffect> tick(long now) {
		this.now = now;
		if (this.nextGreeting <= now) {
			dropLost(now);
			greet(now);
		}
		return drain();
	}

	@Override
	public long nextTick() {
		return this.nextGreeting;
	}

	private List<RosterEffect> drain() {
		List<RosterEffect> drained = List.copyOf(this.effects);
		this.effects.clear();
		return drained;
	}

	private void greet(long now) {
		this.nextGreeting = now + (this.peers.isEmpty() ? JOINING_PERIOD : GREETING_PERIOD);
		this.greetings++;
		if (this.peers.isEmpty()) {
			this.seeds.forEach((seed) -> send(seed, List.of(), List.of()));
			return;
		}
		List<HostAddress> near = new ArrayList<>();
		List<HostAddress> all = new ArrayList<>(this.peers.keySet());
		this.peers.values().forEach((known) -> {
			if (isHome(known.peer.failureDomain().region())) {
				near.add(known.peer.address());
			}
		});
		for (int i = 0; i < GREETED_IN_REGION && !near.isEmpty(); i++) {
			HostAddress chosen = near.remove(this.random.nextInt(near.size()));
			send(chosen, named(now, NAMED), List.of());
		}
		if (this.greetings % DISTANT_EVERY == 0) {
			send(all.get(this.random.nextInt(all.size())), named(now, NAMED), List.of());
		}
	}

	private List<PeerMessage.Heard> named(long now, int most) {
		List<PeerMessage.Heard> candidates = new ArrayList<>();
		for (Known known : this.peers.values()) {
			if (now - known.heardAt < NAMED_BELOW) {
				candidates.add(new PeerMessage.Heard(known.peer, now - known.heardAt));
			}
		}
		List<PeerMessage.Heard> chosen = new ArrayList<>();
		while (chosen.size() < most && !candidates.isEmpty()) {
			int index = this.random.nextInt(candidates.size());
			chosen.add(candidates.get(index));
			candidates.set(index, candidates.getLast());
			candidates.removeLast();
		}
		return chosen;
	}

	private void received(long now, PeerMessage message) {
		int before = this.peers.size();
		heard(message.sender(), now);
		message.members().forEach((member) -> heard(member.peer(), now - member.age()));
		if (isNewcomer(message)) {
			List<PeerMessage.Heard> names = named(now, NAMED_TO_NEWCOMER);
			if (!names.isEmpty()) {
				send(message.sender().address(), names, List.of());
			}
		}
		if (this.peers.size() != before) {
			sizeChanged();
		}
		message.observations().forEach((observation) -> this.effects.add(new RosterEffect.ObservationReceived(observation)));
		message.suspicionReports().forEach((report) -> this.effects.add(new RosterEffect.SuspicionReceived(report)));
		if (!message.members().isEmpty()) {
			this.effects.add(new RosterEffect.LoadReceived(message.sender().address(), message.loads()));
		}
		if (message.revision() >= 0) {
			this.effects
				.add(new RosterEffect.PeerRevisionReceived(message.revision(), message.revisionAge(), message.steadyFor()));
		}
	}

	// Returns whether the sender knows no other daemon, because it has just started or
	// restarted.
	private static boolean isNewcomer(PeerMessage message) {
		return !message.sender().leaving() && message.members().isEmpty() && message.observations().isEmpty();
	}

	private void heard(Peer peer, long at) {
		if (peer.address().equals(this.self.address())) {
			return;
		}
		if (peer.leaving()) {
			this.peers.remove(peer.address());
			return;
		}
		Known known = this.peers.get(peer.address());
		if (known == null) {
			this.peers.put(peer.address(), new Known(peer, at));
			log(BalanceEvent.PEER_LIVE, peer.address(), peer.failureDomain(), this.peers.size() + 1);
		}
		else if (at > known.heardAt) {
			known.heardAt = at;
		}
	}

	private void dropLost(long now) {
		int before = this.peers.size();
		Iterator<Known> all = this.peers.values().iterator();
		while (all.hasNext()) {
			Known known = all.next();
			if (now - known.heardAt > LOST_AFTER) {
				all.remove();
				log(BalanceEvent.PEER_LOST, known.peer.address(), known.peer.failureDomain(), now - known.heardAt,
						this.peers.size() + 1);
			}
		}
		if (this.peers.size() != before) {
			sizeChanged();
		}
	}

	private void sendObservation(RosterInput.SendObservation input) {
		List<ServerObservation> observations = List.of(input.observation());
		for (Known known : this.peers.values()) {
			Region region = known.peer.failureDomain().region();
			if (isHome(region) || region.equals(input.region())) {
				send(known.peer.address(), List.of(), observations);
			}
		}
	}

	private boolean isHome(Region region) {
		return region.equals(this.self.failureDomain().region());
	}

	private void send(HostAddress receiver, List<PeerMessage.Heard> members, List<ServerObservation> observations) {
		this.effects.add(new RosterEffect.Send(receiver,
				new PeerMessage(this.self, this.revision, Math.max(0, this.now - this.confirmedAt),
						Math.max(0, this.now - this.steadySince), members, observations, List.of(), List.of()),
				observations.isEmpty()));
	}

	private void sizeChanged() {
		this.effects.add(new RosterEffect.SizeChanged(this.peers.size() + 1));
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.add(new RosterEffect.Logged(event, List.of(parameters)));
	}

	/** A peer and the monotonic time in milliseconds at which any daemon last saw it. */
	private static final class Known {

		private final Peer peer;

		private long heardAt;

		private Known(Peer peer, long heardAt) {
			this.peer = peer;
			this.heardAt = heardAt;
		}

	}

}
