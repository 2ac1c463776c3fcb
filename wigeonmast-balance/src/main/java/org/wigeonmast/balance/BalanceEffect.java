package org.wigeonmast.balance;

import java.util.List;

import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.ExchangeCommand;

/**
 * An effect that the {@link BalanceCoordinator} asks its caller to carry out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface BalanceEffect {

	/**
	 * Passes a command to the proxy.
	 *
	 * @param command the command
	 */
	record Exchange(ExchangeCommand command) implements BalanceEffect {
	}

	/**
	 * Reports an observation of a backend server to peers.
	 *
	 * @param observation the observation
	 * @param serverDomain the failure domain in which the server runs
	 */
	record ReportObservation(ServerObservation observation, FailureDomain serverDomain) implements BalanceEffect {
	}

	/**
	 * Records the end of a request in the metrics.
	 *
	 * @param service the service
	 * @param outcome the outcome
	 * @param milliseconds the time in milliseconds from its acceptance to its end
	 */
	record RequestEnded(String service, RequestOutcome outcome, long milliseconds) implements BalanceEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param request the identifier of the request concerned, empty if there is none
	 * @param parameters the values for the event's text
	 */
	record Logged(BalanceEvent event, String request, List<Object> parameters) implements BalanceEffect {
	}

}
