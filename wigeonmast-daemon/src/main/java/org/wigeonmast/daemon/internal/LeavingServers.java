package org.wigeonmast.daemon.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.store.PlatformHost;

/**
 * The backend servers known to be leaving, according to the host list, their own
 * responses or peers.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a server that stated that it
 * is leaving counts as leaving until the manifest no longer contains it, or the host list
 * shows it as live more than {@link #HOST_LIST_LAG_MS} after its last statement, because
 * that list lags.
 */
final class LeavingServers {

	/**
	 * Time for which a server's own statement takes precedence over the host list.
	 */
	static final long HOST_LIST_LAG_MS = 60_000;

	private final Map<BackendServerId, Long> statementTimesMs = new HashMap<>();

	private final Set<BackendServerId> leavingByHostList = new HashSet<>();

	private Map<HostAddress, BackendServerId> servers = Map.of();

	void apply(Manifest manifest) {
		Map<HostAddress, BackendServerId> byAddress = new HashMap<>();
		for (Service service : manifest.services()) {
			for (BackendServer server : service.servers()) {
				byAddress.put(server.address(), server.id());
			}
		}
		this.servers = byAddress;
		Set<BackendServerId> known = new HashSet<>(byAddress.values());
		this.statementTimesMs.keySet().retainAll(known);
		this.leavingByHostList.retainAll(known);
	}

	/**
	 * Records that a server stated that it is leaving.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 * @return whether this is its first recorded statement
	 */
	boolean recordStatement(long now, BackendServerId server) {
		return this.statementTimesMs.put(server, now) == null;
	}

	/**
	 * Updates the servers from a host list.
	 * @param now the current monotonic time in milliseconds
	 * @param hosts the hosts
	 */
	void updateFromHostList(long now, List<PlatformHost> hosts) {
		this.leavingByHostList.clear();
		for (PlatformHost host : hosts) {
			BackendServerId server = this.servers.get(host.address());
			if (server == null || host.role() != PlatformHost.Role.BACKEND) {
				continue;
			}
			if (host.leaving()) {
				this.leavingByHostList.add(server);
			}
			else if (now - this.statementTimesMs.getOrDefault(server, now) > HOST_LIST_LAG_MS) {
				this.statementTimesMs.remove(server);
			}
		}
	}

	Set<BackendServerId> all() {
		Set<BackendServerId> all = new HashSet<>(this.statementTimesMs.keySet());
		all.addAll(this.leavingByHostList);
		return all;
	}

}
