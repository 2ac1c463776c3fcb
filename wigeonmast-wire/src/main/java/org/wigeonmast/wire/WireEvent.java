package org.wigeonmast.wire;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the links between daemons.
 * <p>
 * Thread safety: immutable.
 */
public enum WireEvent implements EventDefinition {

	/** The listener for links is open. */
	LISTENING(700, Level.INFO, "links are accepted on {}", "Nothing to do."),

	/** An outgoing link is open. */
	LINK_OPENED(701, Level.DEBUG, "link to {} is open", "Nothing to do."),

	/** An outgoing link is closed. */
	LINK_CLOSED(702, Level.INFO, "link to {} is closed: {}", "If it recurs, check the network between the two hosts."),

	/** A peer could not be authenticated. */
	AUTHENTICATION_FAILED(703, Level.WARN, "peer {} failed authentication: {}",
			"Check that the key in the settings of both hosts is the same; otherwise find out who connects."),

	/** A frame was malformed or too large. */
	FRAME_REJECTED(704, Level.WARN, "frame from {} was rejected and the link closed: {}",
			"Check that the peer runs a supported release; otherwise find out who connects."),

	/** A message of an unknown slice was ignored. */
	SLICE_UNKNOWN(705, Level.DEBUG, "message of unknown slice {} from {} was ignored",
			"Nothing to do; the peer runs a newer release."),

	/** A message was dropped because the link's queue is full. */
	QUEUE_FULL(706, Level.WARN, "message for {} was dropped: {} bytes are queued",
			"Check the network to the peer and the peer's load.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	WireEvent(int number, Level level, String text, String advice) {
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
