package org.wigeonmast.balance;

import java.util.List;

import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.balance.peer.SuspicionReport;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.dispatch.RequestEvent;

/**
 * An input of the {@link BalanceCoordinator}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface BalanceInput {

	/**
	 * The proxy reported an event of a request.
	 *
	 * @param event the event
	 */
	record RequestEventReceived(RequestEvent event) implements BalanceInput {
	}

	/**
	 * A configuration came into force.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationPublished(FleetConfiguration configuration) implements BalanceInput {
	}

	/**
	 * A backend server was added, or its record changed.
	 *
	 * @param server the record of the server
	 */
	record ServerChanged(ServerRecord server) implements BalanceInput {
	}

	/**
	 * A backend server was removed.
	 *
	 * @param server the server
	 */
	record ServerRemoved(BackendServerId server) implements BalanceInput {
	}

	/**
	 * A peer reported an observation of a backend server.
	 *
	 * @param observation the observation
	 */
	record ObservationReceived(ServerObservation observation) implements BalanceInput {
	}

	/**
	 * A peer reported that it suspects a backend server.
	 *
	 * @param report the report
	 */
	record SuspicionReceived(SuspicionReport report) implements BalanceInput {
	}

	/**
	 * A peer reported its load.
	 *
	 * @param peer the address of the peer
	 * @param loads the load by service
	 */
	record LoadReceived(HostAddress peer, List<ServiceLoad> loads) implements BalanceInput {
	}

	/**
	 * The number of live daemons changed.
	 *
	 * @param daemons the number of live daemons including this one, at least 1
	 */
	record FleetSizeChanged(int daemons) implements BalanceInput {
	}

}
