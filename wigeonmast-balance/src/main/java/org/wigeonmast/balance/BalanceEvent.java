package org.wigeonmast.balance;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the balancing, numbers 1200 to 1299.
 * <p>
 * Thread safety: immutable.
 */
public enum BalanceEvent implements EventDefinition {

	/** A request was sent to a backend server. */
	SENT(1200, Level.INFO, "attempt {} of route {} sent to {} of {}: suspicion {}, evidence {} ms old, {} ms left",
			"Nothing to do."),

	/** A request ended with the answer of a backend server. */
	ANSWERED(1201, Level.INFO, "answered {} by {} after {} ms and {} attempts", "Nothing to do."),

	/** A request was refused and has not been run. */
	REFUSED(1202, Level.WARN, "refused as not run after {} ms and {} attempts: {}; retry after {} ms",
			"Check the servers of the service; the request was not run."),

	/** A request was given up and may have been run. */
	GIVEN_UP(1203, Level.WARN, "given up as unknown after {} ms and {} attempts, last at {}: {}",
			"Check the server named; the request may have been run."),

	/** An attempt failed. */
	ATTEMPT_FAILED(1204, Level.WARN, "attempt {} at {} failed after {} ms: {}; sent again: {}",
			"Check the server if this repeats."),

	/** The caller closed its connection before it received the answer. */
	CALLER_LEFT(1205, Level.INFO, "caller left after {} ms and {} attempts", "Nothing to do."),

	/** A request that was unanswered for long was also sent to a second server. */
	SECOND_SEND(1206, Level.INFO, "unanswered by {} for {} ms, sent to a second server", "Nothing to do."),

	/** A server is suspected of failing and avoided while others have free slots. */
	SUSPECTED(1207, Level.WARN, "server {} of {} is suspected: {} ({}), suspicion {}",
			"Check the server if it stays suspected."),

	/** A server is no longer suspected. */
	TRUSTED(1208, Level.INFO, "server {} of {} is trusted again: {}, suspicion {}", "Nothing to do."),

	/** A server was added. */
	SERVER_ADDED(1209, Level.INFO, "server {} of {} at {} in {} is in use, started {}, warm-up {} ms left",
			"Nothing to do."),

	/** A server is leaving. */
	SERVER_LEAVING(1210, Level.INFO, "server {} of {} is leaving and receives no new requests", "Nothing to do."),

	/** A server was removed. */
	SERVER_GONE(1211, Level.INFO, "server {} of {} was removed", "Check the server unless it was stopped."),

	/** A configuration came into force. */
	CONFIGURED(1212, Level.INFO, "configuration {} with {} rules is in force", "Nothing to do."),

	/** Another server answered at the address of a server. */
	SERVER_MISMATCH(1213, Level.WARN,
			"server {} at {} was replaced by another server; not used until its record changes",
			"Nothing to do; the address was assigned to another server."),

	/** A configuration older than the one in force was ignored. */
	CONFIGURATION_IGNORED(1220, Level.INFO, "configuration {} ignored, {} is in force", "Nothing to do."),

	/** A published item is invalid. */
	ITEM_INVALID(1221, Level.WARN, "item {} at revision {} is invalid: {}",
			"Check the program that writes the item; an invalid configuration leaves the previous one "
					+ "in force, an invalid record of a server counts as removed."),

	/** The published state cannot be read. */
	STORE_LOST(1222, Level.WARN, "the published state cannot be read: {}; revision {} stays in force",
			"Check the store if this lasts."),

	/** The published state can be read again. */
	STORE_REGAINED(1223, Level.INFO,
			"the published state can be read again after {} ms, at revision {}; "
					+ "time since the last outage of the store: {} ms",
			"Nothing to do."),

	/** The store has dropped the history from which the watch was to continue. */
	HISTORY_DROPPED(1224, Level.INFO, "the store has dropped the history after revision {}; reading the whole state",
			"Nothing to do."),

	/** A peer knows a higher revision. */
	BEHIND_PEER(1225, Level.INFO,
			"a peer knows revision {} of the published state, this daemon {}; restarting the watch", "Nothing to do."),

	/** A server's record lapsed during an outage of the store. */
	RECORD_LAPSED(1226, Level.INFO, "the record of server {} lapsed during a disruption of the store; kept for {} ms",
			"Nothing to do."),

	/** Neither the store nor a peer confirmed the revision. */
	WATCH_UNCONFIRMED(1227, Level.INFO,
			"not confirmed for {} ms that revision {} of the published state is the latest; restarting the watch",
			"Nothing to do; check the network of this host if it repeats."),

	/** A peer is live. */
	PEER_LIVE(1230, Level.INFO, "peer {} in {} is live, {} live daemons", "Nothing to do."),

	/** A peer was removed because no message came from it or named it as live. */
	PEER_LOST(1231, Level.WARN, "peer {} in {} left or did not answer and is removed, {} live daemons",
			"Check the host unless the daemon was stopped."),

	/** A datagram could not be received or decoded. */
	DATAGRAM_INVALID(1232, Level.WARN, "a datagram of {} bytes from {} cannot be read: {}",
			"Check which program sends to this port.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	BalanceEvent(int number, Level level, String text, String advice) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.advice = advice;
	}

	@Override
	public int number() {
		return this.number;
	}

	@Override
	public Level level() {
		return this.level;
	}

	@Override
	public String text() {
		return this.text;
	}

	@Override
	public String advice() {
		return this.advice;
	}

}
