package org.wigeonmast.balance.peer;

import org.wigeonmast.core.BackendServerId;

/**
 * An observation of a backend server by a daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the server
 * @param kind the kind of observation
 */
public record ServerObservation(BackendServerId server, Kind kind) {

	/** The kind of an observation; the order is part of the wire protocol. */
	public enum Kind {

		/** A request failed after the server had received it. */
		FAILED,

		/** A request has been unanswered for much longer than the average duration. */
		OVERDUE,

		/** The server refused a request because it was full. */
		SHED,

		/** The server answered a request although it was suspected. */
		SERVED,

		/** A connection to the server could not be established. */
		UNREACHABLE

	}

}
