package org.wigeonmast.balance.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.balance.ServerRecord;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;

/**
 * Follower of the published state in a store that daemons only read.
 * <p>
 * Thread safety: none; the control thread owns it. Invariants: the version of the
 * configuration in force never decreases; at most one call is in progress; a server whose
 * record was removed is dropped at once, except shortly after an outage of the store for
 * all reachable daemons: then servers get a short time to write their records again.
 */
public final class StateFollower implements Component<StateFollowerInput, StateFollowerEffect> {

	/**
	 * Time in milliseconds after an outage of the store during which servers whose
	 * records lapsed in the outage are kept, so that they can write the records again.
	 */
	public static final long LAPSE_GRACE = 2000;

	/**
	 * Pause in milliseconds before the next watch, so that one call returns several
	 * changes.
	 */
	private static final long GROUPING = 1300;

	/**
	 * Pause in milliseconds after the first failed call; it doubles with each failure.
	 */
	private static final long FIRST_PAUSE = 100;

	/** Maximum pause in milliseconds, so that the end of an outage is noticed soon. */
	private static final long LONGEST_PAUSE = 600;

	/**
	 * Minimum duration in milliseconds of an outage of the store in which records may
	 * lapse because servers cannot renew them: more than two and a half of their
	 * heartbeats.
	 */
	private static final long LAPSE_AFTER = 4000;

	/**
	 * Time in milliseconds without a confirmation of the revision by the store or a peer
	 * after which the watch counts as lost.
	 */
	private static final long UNCONFIRMED = 2500;

	/** Time in milliseconds that a peer may be ahead before the watch is restarted. */
	private static final long LAG_ACCEPTED = 300;

	/** Minimum time in milliseconds between two such restarts. */
	private static final long LAG_PAUSE = 1000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<BackendServerId, ServerRecord> servers = new HashMap<>();

	private final Map<BackendServerId, Long> lapsed = new HashMap<>();

	private final List<StateFollowerEffect> effects = new ArrayList<>();

	private final RandomGenerator random;

	private long version = -1;

	private long revision = -1;

	private boolean complete;

	private boolean lost;

	private long lostAt;

	private long servedAt = NEVER;

	private long awayFrom = NEVER;

	private long steadySince = NEVER;

	private long graceUntil = NEVER;

	private int failures;

	private long retryAt = NO_TIMER;

	private long confirmedAt;

	private long watchedAt = NO_TIMER;

	private long peerRevision;

	private long lagCheckAt = NO_TIMER;

	private long lastLagRead = NEVER;

	/**
	 * Creates a follower.
	 * @param random the source of random numbers for pauses
	 */
	public StateFollower(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns the last revision of the state that is known.
	 * @return the revision, -1 before the first read
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the time since the store last confirmed the revision to this daemon or a
	 * peer.
	 * @param now the current monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	public long confirmationAge(long now) {
		return now - this.confirmedAt;
	}

	/**
	 * Returns the start of the period in which the store has answered this daemon or a
	 * peer often enough for no record to lapse.
	 * @return the monotonic time in milliseconds, {@link Long#MAX_VALUE} before the first
	 * answer
	 */
	public long steadySince() {
		return (this.steadySince != NEVER) ? this.steadySince : Long.MAX_VALUE;
	}

	/**
	 * Returns whether the whole state was read and has a configuration.
	 * @return whether requests can be served
	 */
	public boolean isComplete() {
		return this.complete && this.version >= 0;
	}

	@Override
	public List<StateFollowerEffect> handle(long now, StateFollowerInput input) {
		switch (input) {
			case StateFollowerInput.Started _ -> {
				this.confirmedAt = now;
				read();
			}
			case StateFollowerInput.StateRead listed -> listed(now, listed.snapshot());
			case StateFollowerInput.ChangesReceived changed -> changed(now, changed);
			case StateFollowerInput.HistoryDropped _ -> {
				log(BalanceEvent.HISTORY_DROPPED, this.revision);
				this.watchedAt = NO_TIMER;
				read();
			}
			case StateFollowerInput.CallFailed failed -> failed(now, failed.reason());
			case StateFollowerInput.PeerRevisionReceived peer -> peerRevision(now, peer);
		}
		return drain();
	}

	@Override
	public List<StateFollowerEffect> tick(long now) {
		if (this.retryAt <= now) {
			this.retryAt = NO_TIMER;
			resume(now);
		}
		if (confirmationDue() <= now) {
			log(BalanceEvent.WATCH_UNCONFIRMED, now - this.confirmedAt, this.revision);
			resume(now);
		}
		if (this.lagCheckAt <= now) {
			this.lagCheckAt = NO_TIMER;
			if (this.peerRevision > this.revision && this.retryAt == NO_TIMER) {
				this.lastLagRead = now;
				log(BalanceEvent.BEHIND_PEER, this.peerRevision, this.revision);
				resume(now);
			}
		}
		dropLapsed(now);
		return drain();
	}

	@Override
	public long nextTick() {
		long next = Math.min(Math.min(this.retryAt, this.lagCheckAt), confirmationDue());
		for (long until : this.lapsed.values()) {
			next = Math.min(next, until);
		}
		return next;
	}

	private List<StateFollowerEffect> drain() {
		List<StateFollowerEffect> drained = List.copyOf(this.effects);
		this.effects.clear();
		return drained;
	}

	private void read() {
		this.effects.add(new StateFollowerEffect.ReadState());
	}

	// Returns the time at which a watch that is not confirmed is restarted.
	private long confirmationDue() {
		return (this.watchedAt == NO_TIMER) ? NO_TIMER : Math.max(this.confirmedAt, this.watchedAt) + UNCONFIRMED;
	}

	private void resume(long now) {
		this.watchedAt = NO_TIMER;
		if (this.revision < 0) {
			read();
		}
		else {
			this.watchedAt = now;
			this.effects.add(new StateFollowerEffect.Watch(this.revision));
		}
	}

	private void listed(long now, StateSnapshot listing) {
		contact(now, listing.revision());
		if (listing.configuration() != null) {
			configured(listing.configuration());
		}
		Set<BackendServerId> missing = new HashSet<>(this.servers.keySet());
		for (ServerRecord server : listing.servers()) {
			missing.remove(server.id());
			written(server);
		}
		missing.forEach((server) -> removed(now, server));
		this.revision = listing.revision();
		if (!this.complete) {
			this.complete = true;
			this.effects.add(new StateFollowerEffect.StateComplete());
		}
		resume(now);
	}

	private void changed(long now, StateFollowerInput.ChangesReceived changed) {
		contact(now, changed.revision());
		for (StateChange change : changed.changes()) {
			switch (change) {
				case StateChange.ServerWritten written -> written(written.server());
				case StateChange.ServerRemoved removed -> removed(now, removed.server());
				case StateChange.ConfigurationPublished configured -> configured(configured.configuration());
			}
		}
		this.revision = Math.max(this.revision, changed.revision());
		// Changes come in bursts; after a pause, one call returns the rest of them.
		this.retryAt = now + GROUPING;
	}

	private void written(ServerRecord server) {
		this.lapsed.remove(server.id());
		if (!server.equals(this.servers.put(server.id(), server))) {
			this.effects.add(new StateFollowerEffect.Apply(new StateChange.ServerWritten(server)));
		}
	}

	private void removed(long now, BackendServerId server) {
		ServerRecord known = this.servers.get(server);
		if (known == null || this.lapsed.containsKey(server)) {
			return;
		}
		long grace = this.graceUntil - now;
		if (grace > 0 && !known.leaving()) {
			this.lapsed.put(server, now + grace);
			log(BalanceEvent.RECORD_LAPSED, server, grace);
		}
		else {
			drop(server);
		}
	}

	private void drop(BackendServerId server) {
		this.servers.remove(server);
		this.effects.add(new StateFollowerEffect.Apply(new StateChange.ServerRemoved(server)));
	}

	private void dropLapsed(long now) {
		Iterator<Map.Entry<BackendServerId, Long>> all = this.lapsed.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<BackendServerId, Long> entry = all.next();
			if (entry.getValue() <= now) {
				all.remove();
				drop(entry.getKey());
			}
		}
	}

	private void configured(FleetConfiguration configuration) {
		if (configuration.version() > this.version) {
			this.version = configuration.version();
			this.effects.add(new StateFollowerEffect.Apply(new StateChange.ConfigurationPublished(configuration)));
		}
		else if (configuration.version() < this.version) {
			log(BalanceEvent.CONFIGURATION_IGNORED, configuration.version(), this.version);
		}
	}

	private void contact(long now, long seen) {
		this.failures = 0;
		this.retryAt = NO_TIMER;
		this.watchedAt = NO_TIMER;
		this.confirmedAt = now;
		served(now);
		if (this.lost) {
			this.lost = false;
			log(BalanceEvent.STORE_REGAINED, now - this.lostAt, seen, now - this.steadySince);
		}
	}

	// Records that the store answered this daemon or a peer at the given time.
	private void served(long at) {
		if (at - this.servedAt >= LAPSE_AFTER) {
			this.awayFrom = this.servedAt;
			this.steadySince = at;
			// Before its first read, this daemon knows no record that could have lapsed.
			this.graceUntil = (this.servedAt != NEVER) ? at + LAPSE_GRACE : NEVER;
		}
		this.servedAt = Math.max(this.servedAt, at);
	}

	// Handles the report of a peer that the store had no outage while this daemon could
	// reach neither the store nor the peer: records then did not lapse, but were removed.
	private void steadyAll(long now, long since) {
		if (since < this.steadySince) {
			this.steadySince = since;
			this.graceUntil = Math.min(this.graceUntil, since + LAPSE_GRACE);
			this.lapsed.replaceAll((server, until) -> Math.max(now, this.graceUntil));
			dropLapsed(now);
		}
	}

	private void failed(long now, String reason) {
		this.watchedAt = NO_TIMER;
		if (!this.lost) {
			this.lost = true;
			this.lostAt = now;
			log(BalanceEvent.STORE_LOST, reason, this.revision);
		}
		long pause = Math.min(LONGEST_PAUSE, FIRST_PAUSE << Math.min(this.failures, 10));
		this.failures++;
		this.retryAt = now + pause / 2 + this.random.nextLong(pause / 2 + 1);
	}

	private void peerRevision(long now, StateFollowerInput.PeerRevisionReceived peer) {
		served(now - peer.age());
		if (peer.age() < LAPSE_AFTER && now - peer.steadyFor() < this.awayFrom + LAPSE_AFTER) {
			steadyAll(now, now - peer.steadyFor());
		}
		this.peerRevision = Math.max(this.peerRevision, peer.revision());
		if (peer.revision() >= 0 && peer.revision() <= this.revision) {
			this.confirmedAt = Math.max(this.confirmedAt, now - peer.age());
		}
		if (this.peerRevision > this.revision && this.revision >= 0 && this.lagCheckAt == NO_TIMER) {
			this.lagCheckAt = Math.max(now + LAG_ACCEPTED, this.lastLagRead + LAG_PAUSE);
		}
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.add(new StateFollowerEffect.Logged(event, List.of(parameters)));
	}

}
