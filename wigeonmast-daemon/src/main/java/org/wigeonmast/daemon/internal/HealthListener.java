package org.wigeonmast.daemon.internal;

import java.util.List;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;

/**
 * Listener for decisions of the health components.
 * <p>
 * Thread safety: called on the control thread.
 */
interface HealthListener {

	/**
	 * Called when this daemon, as owner, changes its judgement of a service's servers.
	 * @param service the service
	 * @param servers the servers of this region
	 */
	void onHealthChanged(ServiceName service, List<ServerHealth> servers);

	/**
	 * Called when the server states used on the request path change.
	 * @param service the service
	 */
	void onStatesChanged(ServiceName service);

	/**
	 * Sends one probe to a backend server.
	 * @param server the server
	 */
	void probe(BackendServerId server);

}
