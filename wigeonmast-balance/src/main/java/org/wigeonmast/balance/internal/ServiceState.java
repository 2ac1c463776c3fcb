package org.wigeonmast.balance.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.BalanceSettings;
import org.wigeonmast.core.BackendServerId;

/**
 * The servers of a service and its allowance of second sends.
 * <p>
 * Thread safety: none.
 */
public final class ServiceState {

	private final Map<BackendServerId, ServerState> servers = new LinkedHashMap<>();

	private final RetryAllowance allowance;

	/**
	 * Creates the state of a service without servers.
	 * @param settings the settings
	 * @param daemons the number of live daemons
	 */
	public ServiceState(BalanceSettings settings, int daemons) {
		this.allowance = new RetryAllowance(settings, daemons);
	}

	public RetryAllowance allowance() {
		return this.allowance;
	}

	public Collection<ServerState> servers() {
		return this.servers.values();
	}

	public @Nullable ServerState server(BackendServerId id) {
		return this.servers.get(id);
	}

	/**
	 * Adds a server, in place of an earlier start of it.
	 * @param server the server
	 */
	public void put(ServerState server) {
		this.servers.put(server.record().id(), server);
	}

	/**
	 * Removes a server.
	 * @param id the identifier
	 */
	public void remove(BackendServerId id) {
		this.servers.remove(id);
	}

}
