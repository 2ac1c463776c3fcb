package org.wigeonmast.balance;

import java.util.List;

import org.wigeonmast.balance.peer.Rumour;
import org.wigeonmast.balance.peer.ServerNews;
import org.wigeonmast.balance.peer.ServiceLoad;
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
	 * An event of the proxy.
	 *
	 * @param event the event
	 */
	record Proxied(RequestEvent event) implements BalanceInput {
	}

	/**
	 * A configuration is in force.
	 *
	 * @param configuration the configuration
	 */
	record Configured(FleetConfiguration configuration) implements BalanceInput {
	}

	/**
	 * A backend server appeared or changed.
	 *
	 * @param server the server
	 */
	record ServerChanged(ServerRecord server) implements BalanceInput {
	}

	/**
	 * A backend server is gone.
	 *
	 * @param server the server
	 */
	record ServerGone(BackendServerId server) implements BalanceInput {
	}

	/**
	 * A peer told what it saw of a backend server.
	 *
	 * @param news the news
	 */
	record Told(ServerNews news) implements BalanceInput {
	}

	/**
	 * A peer told what it believes of a backend server.
	 *
	 * @param rumour what it believes
	 */
	record Rumoured(Rumour rumour) implements BalanceInput {
	}

	/**
	 * A peer told how many requests it gets.
	 *
	 * @param peer the address of the peer
	 * @param loads the requests that it gets, by service
	 */
	record LoadTold(HostAddress peer, List<ServiceLoad> loads) implements BalanceInput {
	}

	/**
	 * The number of live daemons changed.
	 *
	 * @param daemons the number, at least 1
	 */
	record FleetSize(int daemons) implements BalanceInput {
	}

}
