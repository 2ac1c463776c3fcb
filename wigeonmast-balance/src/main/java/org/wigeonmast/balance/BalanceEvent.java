package org.wigeonmast.balance;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the balance, numbers 1200 to 1299.
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
			"Look at the servers of the service; the request was not run."),

	/** A request was given up although it may have been run. */
	GIVEN_UP(1203, Level.WARN, "given up as unknown after {} ms and {} attempts, last at {}: {}",
			"Look at the server named; the request may have been run."),

	/** An attempt failed. */
	ATTEMPT_FAILED(1204, Level.WARN, "attempt {} at {} failed after {} ms: {}; sent again: {}",
			"Look at the server if this repeats."),

	/** The caller left before its answer. */
	CALLER_LEFT(1205, Level.INFO, "caller left after {} ms and {} attempts", "Nothing to do."),

	/** A request is unanswered for long, and is also sent to another server. */
	SECOND_SEND(1206, Level.INFO, "unanswered by {} for {} ms, sent to a second server", "Nothing to do."),

	/** A server is suspected and avoided while others are free. */
	SUSPECTED(1207, Level.WARN, "server {} of {} is suspected: {} ({}), suspicion {}",
			"Look at the server if it stays suspected."),

	/** A server is no longer suspected. */
	TRUSTED(1208, Level.INFO, "server {} of {} is trusted again: {}, suspicion {}", "Nothing to do."),

	/** A server appeared. */
	SERVER_ADDED(1209, Level.INFO, "server {} of {} at {} in {} is in use, started {}, warm-up {} ms left",
			"Nothing to do."),

	/** A server is leaving. */
	SERVER_LEAVING(1210, Level.INFO, "server {} of {} is leaving and gets no new work", "Nothing to do."),

	/** A server is gone. */
	SERVER_GONE(1211, Level.INFO, "server {} of {} is gone", "Nothing to do unless it should be there."),

	/** A configuration is in force. */
	CONFIGURED(1212, Level.INFO, "configuration {} with {} rules is in force", "Nothing to do."),

	/** A server at this address is another one. */
	SERVER_MISMATCH(1213, Level.WARN, "server {} at {} is another one; not used until its record changes",
			"Nothing to do; the address was given to another server."),

	/** Older or equal configurations are ignored. */
	CONFIGURATION_IGNORED(1220, Level.INFO, "configuration {} ignored, {} is in force", "Nothing to do."),

	/** A published item cannot be used. */
	ITEM_INVALID(1221, Level.WARN, "item {} at revision {} is not usable: {}",
			"Look at the writer of the item; what was in force before stays."),

	/** The published state cannot be read. */
	STORE_LOST(1222, Level.WARN, "the published state cannot be read: {}; revision {} stays in force",
			"Look at the store if this lasts."),

	/** The published state can be read again. */
	STORE_REGAINED(1223, Level.INFO,
			"the published state can be read again after {} ms, at revision {}; the store is steady for {} ms",
			"Nothing to do."),

	/** The history of the published state was dropped. */
	HISTORY_DROPPED(1224, Level.INFO, "the history after revision {} was dropped; the state is read as a whole",
			"Nothing to do."),

	/** A peer has seen a higher revision. */
	BEHIND_PEER(1225, Level.INFO, "a peer has revision {}, this daemon {}; the state is read again", "Nothing to do."),

	/** A server's record lapsed while the store was away. */
	RECORD_LAPSED(1226, Level.INFO, "the record of server {} lapsed during a disruption of the store; kept for {} ms",
			"Nothing to do."),

	/** Neither the store nor a peer confirmed the revision. */
	WATCH_UNCONFIRMED(1227, Level.INFO,
			"nothing confirmed for {} ms that revision {} is the last; the watch is started again",
			"Nothing to do; look at the network of this host if it repeats."),

	/** A peer is live. */
	PEER_LIVE(1230, Level.INFO, "peer {} in {} is live, {} live daemons", "Nothing to do."),

	/** A peer is no longer heard of. */
	PEER_LOST(1231, Level.WARN, "peer {} in {} was not heard of for {} ms, {} live daemons",
			"Look at the host unless it was stopped."),

	/** A datagram could not be read. */
	DATAGRAM_INVALID(1232, Level.WARN, "a datagram of {} bytes from {} cannot be read: {}",
			"Look at what sends to this port.");

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
