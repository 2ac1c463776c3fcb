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
 * The backend servers that are known to leave, from the host list, their own answers and
 * peers.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a server that stated that it
 * leaves stays leaving until the manifest drops it or the host list shows it as live for
 * longer than {@link #HOST_LIST_LAG_MS}, because that list lags.
 */
final class LeavingServers {

	/**
	 * Time in milliseconds for which the host list is not believed against a server's own
	 * statement.
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
	 * Records that a server stated that it leaves.
	 * @param now the monotonic time in milliseconds
	 * @param server the server
	 * @return whether this was not known
	 */
	boolean recordStatement(long now, BackendServerId server) {
		return this.statementTimesMs.put(server, now) == null;
	}

	/**
	 * Records the host list.
	 * @param now the monotonic time in milliseconds
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
