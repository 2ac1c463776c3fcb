package org.wigeonmast.balance.peer;

import org.wigeonmast.core.BackendServerId;

/**
 * What a daemon saw of a backend server.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the server
 * @param kind what was seen
 */
public record ServerNews(BackendServerId server, Kind kind) {

	/** What a daemon can see of a server; the order is part of the protocol. */
	public enum Kind {

		/** A request failed that the server had received. */
		FAILED,

		/** A request is unanswered for much longer than requests usually take. */
		OVERDUE,

		/** The server refused a request because it is full. */
		SHED,

		/** The server answered a request although it was suspected. */
		SERVED,

		/** No connection to the server could be made. */
		UNREACHABLE

	}

}
