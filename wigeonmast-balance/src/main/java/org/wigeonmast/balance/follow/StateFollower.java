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
	public static final long LAPSE_GRACE_MS = 2000;

	/**
	 * Minimum pause in milliseconds before the next watch, so that one call returns
	 * several changes.
	 */
	private static final long MIN_WATCH_PAUSE_MS = 1300;

	/**
	 * Fraction of the time in which changes must take effect that this pause may take.
	 */
	private static final double WATCH_PAUSE_FRACTION = 0.5;

	/**
	 * Pause in milliseconds after the first failed call; it doubles with each failure.
	 */
	private static final long MIN_RETRY_PAUSE_MS = 100;

	/** Maximum pause in milliseconds, so that the end of an outage is noticed soon. */
	private static final long MAX_RETRY_PAUSE_MS = 600;

	/**
	 * Minimum duration in milliseconds of an outage of the store in which records may
	 * lapse because servers cannot renew them: more than two and a half of their
	 * heartbeats.
	 */
	private static final long MIN_OUTAGE_MS = 4000;

	/**
	 * Time in milliseconds without a confirmation of the revision by the store or a peer
	 * after which the watch counts as lost.
	 */
	private static final long CONFIRMATION_TIMEOUT_MS = 2500;

	/**
	 * Time in milliseconds for which a peer may know a later revision than this daemon
	 * before the watch is restarted.
	 */
	private static final long MAX_LAG_MS = 300;

	/** Minimum time in milliseconds between two such restarts. */
	private static final long LAG_RESTART_INTERVAL_MS = 1000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<BackendServerId, ServerRecord> servers = new HashMap<>();

	private final Map<BackendServerId, Long> lapseEnds = new HashMap<>();

	private final List<StateFollowerEffect> effects = new ArrayList<>();

	private final RandomGenerator random;

	private final long watchPause;

	private long version = -1;

	private long revision = -1;

	private boolean complete;

	private boolean storeLost;

	private long storeLostAt;

	private long storeAnsweredAt = NEVER;

	private long outageStartedAt = NEVER;

	private long steadySince = NEVER;

	private long graceEndsAt = NEVER;

	private int consecutiveFailures;

	private long retryAt = NO_TIMER;

	private long confirmedAt;

	private long watchStartedAt = NO_TIMER;

	private long peerRevision;

	private long lagCheckAt = NO_TIMER;

	private long lastLagRestartAt = NEVER;

	/**
	 * Creates a follower.
	 * @param maxChangeDelay the time in milliseconds within which a change must take
	 * effect
	 * @param random the source of random numbers for pauses
	 */
	public StateFollower(long maxChangeDelay, RandomGenerator random) {
		this.watchPause = Math.max(MIN_WATCH_PAUSE_MS, (long) (maxChangeDelay * WATCH_PAUSE_FRACTION));
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
			case StateFollowerInput.StateRead state -> applySnapshot(now, state.snapshot());
			case StateFollowerInput.ChangesReceived changes -> applyChanges(now, changes);
			case StateFollowerInput.HistoryDropped _ -> {
				log(BalanceEvent.HISTORY_DROPPED, this.revision);
				this.watchStartedAt = NO_TIMER;
				read();
			}
			case StateFollowerInput.CallFailed failure -> onCallFailed(now, failure.reason());
			case StateFollowerInput.PeerRevisionReceived peer -> onPeerRevision(now, peer);
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
				this.lastLagRestartAt = now;
				log(BalanceEvent.BEHIND_PEER, this.peerRevision, this.revision);
				resume(now);
			}
		}
		dropLapsedServers(now);
		return drain();
	}

	@Override
	public long nextTick() {
		long next = Math.min(Math.min(this.retryAt, this.lagCheckAt), confirmationDue());
		for (long until : this.lapseEnds.values()) {
			next = Math.min(next, until);
		}
		return next;
	}

	private List<StateFollowerEffect> drain() {
		List<StateFollowerEffect> pending = List.copyOf(this.effects);
		this.effects.clear();
		return pending;
	}

	private void read() {
		this.effects.add(new StateFollowerEffect.ReadState());
	}

	// Returns the time at which a watch that is not confirmed is restarted.
	private long confirmationDue() {
		return (this.watchStartedAt == NO_TIMER) ? NO_TIMER
				: Math.max(this.confirmedAt, this.watchStartedAt) + CONFIRMATION_TIMEOUT_MS;
	}

	private void resume(long now) {
		this.watchStartedAt = NO_TIMER;
		if (this.revision < 0) {
			read();
		}
		else {
			this.watchStartedAt = now;
			this.effects.add(new StateFollowerEffect.Watch(this.revision));
		}
	}

	private void applySnapshot(long now, StateSnapshot snapshot) {
		onStoreAnswer(now, snapshot.revision());
		if (snapshot.configuration() != null) {
			applyConfiguration(snapshot.configuration());
		}
		Set<BackendServerId> missing = new HashSet<>(this.servers.keySet());
		for (ServerRecord server : snapshot.servers()) {
			missing.remove(server.id());
			putServer(server);
		}
		missing.forEach((server) -> onServerRemoved(now, server));
		this.revision = snapshot.revision();
		if (!this.complete) {
			this.complete = true;
			this.effects.add(new StateFollowerEffect.StateComplete());
		}
		resume(now);
	}

	private void applyChanges(long now, StateFollowerInput.ChangesReceived changes) {
		onStoreAnswer(now, changes.revision());
		for (StateChange change : changes.changes()) {
			switch (change) {
				case StateChange.ServerWritten update -> putServer(update.server());
				case StateChange.ServerRemoved removal -> onServerRemoved(now, removal.server());
				case StateChange.ConfigurationPublished publication -> applyConfiguration(publication.configuration());
			}
		}
		this.revision = Math.max(this.revision, changes.revision());
		// Changes come in bursts; after a pause, one call returns the rest of them.
		this.retryAt = now + this.watchPause;
	}

	private void putServer(ServerRecord server) {
		this.lapseEnds.remove(server.id());
		if (!server.equals(this.servers.put(server.id(), server))) {
			this.effects.add(new StateFollowerEffect.Apply(new StateChange.ServerWritten(server)));
		}
	}

	private void onServerRemoved(long now, BackendServerId server) {
		ServerRecord record = this.servers.get(server);
		if (record == null || this.lapseEnds.containsKey(server)) {
			return;
		}
		long remainingGrace = this.graceEndsAt - now;
		if (remainingGrace > 0 && !record.leaving()) {
			this.lapseEnds.put(server, now + remainingGrace);
			log(BalanceEvent.RECORD_LAPSED, server, remainingGrace);
		}
		else {
			dropServer(server);
		}
	}

	private void dropServer(BackendServerId server) {
		this.servers.remove(server);
		this.effects.add(new StateFollowerEffect.Apply(new StateChange.ServerRemoved(server)));
	}

	private void dropLapsedServers(long now) {
		Iterator<Map.Entry<BackendServerId, Long>> all = this.lapseEnds.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<BackendServerId, Long> entry = all.next();
			if (entry.getValue() <= now) {
				all.remove();
				dropServer(entry.getKey());
			}
		}
	}

	private void applyConfiguration(FleetConfiguration configuration) {
		if (configuration.version() > this.version) {
			this.version = configuration.version();
			this.effects.add(new StateFollowerEffect.Apply(new StateChange.ConfigurationPublished(configuration)));
		}
		else if (configuration.version() < this.version) {
			log(BalanceEvent.CONFIGURATION_IGNORED, configuration.version(), this.version);
		}
	}

	private void onStoreAnswer(long now, long storeRevision) {
		this.consecutiveFailures = 0;
		this.retryAt = NO_TIMER;
		this.watchStartedAt = NO_TIMER;
		this.confirmedAt = now;
		recordStoreAnswer(now);
		if (this.storeLost) {
			this.storeLost = false;
			log(BalanceEvent.STORE_REGAINED, now - this.storeLostAt, storeRevision, now - this.steadySince);
		}
	}

	// Records that the store answered this daemon or a peer at the given time.
	private void recordStoreAnswer(long at) {
		if (at - this.storeAnsweredAt >= MIN_OUTAGE_MS) {
			this.outageStartedAt = this.storeAnsweredAt;
			this.steadySince = at;
			// Before its first read, this daemon knows no record that could have lapsed.
			this.graceEndsAt = (this.storeAnsweredAt != NEVER) ? at + LAPSE_GRACE_MS : NEVER;
		}
		this.storeAnsweredAt = Math.max(this.storeAnsweredAt, at);
	}

	// Handles the report of a peer that the store had no outage while this daemon could
	// reach neither the store nor the peer: records then did not lapse, but were removed.
	private void extendSteadyPeriod(long now, long since) {
		if (since < this.steadySince) {
			this.steadySince = since;
			this.graceEndsAt = Math.min(this.graceEndsAt, since + LAPSE_GRACE_MS);
			this.lapseEnds.replaceAll((server, until) -> Math.max(now, this.graceEndsAt));
			dropLapsedServers(now);
		}
	}

	private void onCallFailed(long now, String reason) {
		this.watchStartedAt = NO_TIMER;
		if (!this.storeLost) {
			this.storeLost = true;
			this.storeLostAt = now;
			log(BalanceEvent.STORE_LOST, reason, this.revision);
		}
		long pause = Math.min(MAX_RETRY_PAUSE_MS, MIN_RETRY_PAUSE_MS << Math.min(this.consecutiveFailures, 10));
		this.consecutiveFailures++;
		this.retryAt = now + pause / 2 + this.random.nextLong(pause / 2 + 1);
	}

	private void onPeerRevision(long now, StateFollowerInput.PeerRevisionReceived peer) {
		recordStoreAnswer(now - peer.age());
		if (peer.age() < MIN_OUTAGE_MS && now - peer.steadyFor() < this.outageStartedAt + MIN_OUTAGE_MS) {
			extendSteadyPeriod(now, now - peer.steadyFor());
		}
		this.peerRevision = Math.max(this.peerRevision, peer.revision());
		if (peer.revision() >= 0 && peer.revision() <= this.revision) {
			this.confirmedAt = Math.max(this.confirmedAt, now - peer.age());
		}
		if (this.peerRevision > this.revision && this.revision >= 0 && this.lagCheckAt == NO_TIMER) {
			this.lagCheckAt = Math.max(now + MAX_LAG_MS, this.lastLagRestartAt + LAG_RESTART_INTERVAL_MS);
		}
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.add(new StateFollowerEffect.Logged(event, List.of(parameters)));
	}

}
