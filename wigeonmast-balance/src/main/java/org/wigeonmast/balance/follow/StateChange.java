package org.wigeonmast.balance.follow;

import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.balance.ServerRecord;
import org.wigeonmast.core.BackendServerId;

/**
 * A change of the published state.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface StateChange {

	/**
	 * A backend server published or changed its record.
	 *
	 * @param server the record
	 */
	record ServerWritten(ServerRecord server) implements StateChange {
	}

	/**
	 * The record of a backend server was removed or became invalid.
	 *
	 * @param server the server
	 */
	record ServerRemoved(BackendServerId server) implements StateChange {
	}

	/**
	 * The operators published a configuration.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationPublished(FleetConfiguration configuration) implements StateChange {
	}

}
