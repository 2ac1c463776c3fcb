package org.wigeonmast.proxy;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the proxy, numbers 800 to 899.
 * <p>
 * Thread safety: immutable.
 */
public enum ProxyEvent implements EventDefinition {

	/** The proxy listens. */
	LISTENING(800, Level.INFO, "Listening for callers on {}", "Nothing to do."),

	/** A drain started. */
	DRAINING(801, Level.INFO, "Draining: {} connections of callers are open", "Nothing to do."),

	/** A drain ended. */
	DRAINED(802, Level.INFO, "Drained: all connections of callers are closed", "Nothing to do."),

	/** A request was rejected. */
	REQUEST_REJECTED(803, Level.DEBUG, "Rejected a request from {} with status {}: {}",
			"If one caller causes many of these, report the text of the problem document to its operators."),

	/** The limit on callers' connections was reached. */
	CALLER_LIMIT(804, Level.WARN, "Closed a connection from {}: {} connections of callers are open",
			"Check whether a caller opens connections without closing them."),

	/** A backend server sent bytes without a request. */
	UNSOLICITED_BYTES(805, Level.WARN, "Closed an idle connection to {}, which sent bytes without a request",
			"The backend server sends responses of the wrong length; have it corrected."),

	/** A response was truncated. */
	TRANSFER_BROKEN(806, Level.WARN, "Response to request {} from {} truncated: {}",
			"If one backend server causes many of these, check its log at that time."),

	/** All connections to a backend server are in use. */
	CONNECTIONS_USED_UP(807, Level.WARN, "All {} connections to {} are in use",
			"The backend server answers too slowly for its load; check its health and its number of slots."),

	/** Dispatch refused a request as not run that may have run. */
	REFUSAL_CORRECTED(808, Level.ERROR,
			"The request coordinator reported request {} as not run although it may have been run; "
					+ "the caller was told that the outcome is unknown",
			"This is an error in the program; report it with the log around this entry."),

	/** A response to another request was skipped. */
	FOREIGN_RESPONSE(810, Level.WARN, "request {} at {}: skipped a response to another request",
			"Check the backend server, which answered twice or late; the connection is not reused."),

	/** Another response stands in the body of a response without length. */
	EMBEDDED_RESPONSE(811, Level.WARN, "request {} at {}: another response follows a response without length",
			"Check the backend server, which answered twice; the request failed because its body has no certain end."),

	/** An error in the program ended a connection. */
	UNEXPECTED_ERROR(809, Level.ERROR, "Closed a connection because of an unexpected error: {}",
			"This is an error in the program; report it with the log around this entry.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	ProxyEvent(int number, Level level, String text, String advice) {
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
