package org.wigeonmast.dispatch;

import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.manifest.BackendServer;

/**
 * A command from dispatch to the proxy about one request.
 * <p>
 * Thread safety: immutable. Invariant: each request ends with exactly one of
 * {@link Refuse} and a relayed response, unless the caller left first.
 */
public sealed interface ExchangeCommand {

	/**
	 * Returns the request concerned.
	 * @return the identifier
	 */
	RequestId request();

	/**
	 * Sends the request to a backend server.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt, from 1
	 * @param server the backend server
	 * @param requirement the connections that may be used
	 * @param deadline the monotonic time in milliseconds at which the attempt times out
	 */
	record StartAttempt(RequestId request, int attempt, BackendServer server, ConnectionRequirement requirement,
			long deadline) implements ExchangeCommand {
	}

	/**
	 * Relays the response, which the proxy holds back, to the caller.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 */
	record Relay(RequestId request, int attempt) implements ExchangeCommand {
	}

	/**
	 * Ends an attempt, closes its connection and discards its response.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 */
	record Abort(RequestId request, int attempt) implements ExchangeCommand {
	}

	/**
	 * Answers the caller with a refusal.
	 *
	 * @param request the request
	 * @param outcome {@link RequestOutcome.NotRun} or {@link RequestOutcome.Unknown}
	 */
	record Refuse(RequestId request, RequestOutcome outcome) implements ExchangeCommand {
	}

}
