package org.wigeonmast.daemon.internal;

import java.util.List;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;

/**
 * Takes the decisions of the health components.
 * <p>
 * Thread safety: called on the control thread.
 */
interface HealthListener {

	/**
	 * The judgement of this daemon as an owner changed.
	 * @param service the service
	 * @param servers the servers of this region
	 */
	void onServersJudged(ServiceName service, List<ServerHealth> servers);

	/**
	 * What the request path follows changed.
	 * @param service the service
	 */
	void onStatesChanged(ServiceName service);

	/**
	 * A backend server is to be probed once.
	 * @param server the server
	 */
	void probe(BackendServerId server);

}
