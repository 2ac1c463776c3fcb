package org.wigeonmast.daemon.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.DispatchMessage.AdvisedServer;
import org.wigeonmast.health.ActiveEjection;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.health.ServerHealth.State;

/**
 * What this daemon's request path follows: the weights that owners advise, the ejections
 * whose leases last, and the servers known to leave.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a server counts as ejected
 * only while an ejection is followed; advice alone makes it the last choice, because
 * advice carries no lease.
 */
final class ServerStates {

	/**
	 * Weight of a server that an owner wants to eject and for which no lease is known
	 * here.
	 */
	private static final double LAST_CHOICE = 0.05;

	/** Weight of a server on trial. */
	private static final double TRIAL = 0.1;

	private final Map<ServiceName, Map<DaemonId, List<AdvisedServer>>> advised = new HashMap<>();

	private final Map<ServiceName, List<ActiveEjection>> followed = new HashMap<>();

	private final Set<BackendServerId> avoidedPaths = new HashSet<>();

	private final Set<BackendServerId> leaving = new HashSet<>();

	void advised(DaemonId owner, ServiceName service, List<AdvisedServer> servers) {
		Map<DaemonId, List<AdvisedServer>> byOwner = this.advised.computeIfAbsent(service,
				(added) -> new LinkedHashMap<>());
		// The latest advice goes last, so it overrides that of an earlier owner.
		byOwner.remove(owner);
		byOwner.put(owner, servers);
	}

	void followed(ServiceName service, List<ActiveEjection> ejections) {
		this.followed.put(service, ejections);
	}

	void leaving(Set<BackendServerId> servers) {
		this.leaving.clear();
		this.leaving.addAll(servers);
	}

	void avoidPaths(Set<BackendServerId> servers) {
		this.avoidedPaths.clear();
		this.avoidedPaths.addAll(servers);
	}

	void forgetOwners(Set<DaemonId> live) {
		this.advised.values().forEach((byOwner) -> byOwner.keySet().retainAll(live));
	}

	void remove(ServiceName service) {
		this.advised.remove(service);
		this.followed.remove(service);
	}

	List<ServerHealth> of(ServiceName service) {
		Map<BackendServerId, ServerHealth> states = new LinkedHashMap<>();
		for (List<AdvisedServer> servers : this.advised.getOrDefault(service, Map.of()).values()) {
			servers.forEach((server) -> states.put(server.health().server(), withoutLease(server.health())));
		}
		this.avoidedPaths.forEach((server) -> states.put(server, new ServerHealth(server, State.AVOIDED, LAST_CHOICE)));
		for (ActiveEjection ejection : this.followed.getOrDefault(service, List.of())) {
			ServerHealth health = ejection.trial() ? new ServerHealth(ejection.server(), State.TRIAL, TRIAL)
					: new ServerHealth(ejection.server(), State.EJECTED, 0);
			states.put(ejection.server(), health);
		}
		this.leaving.forEach((server) -> states.put(server, new ServerHealth(server, State.LEAVING, 0)));
		return new ArrayList<>(states.values());
	}

	private static ServerHealth withoutLease(ServerHealth health) {
		boolean leased = health.state() == State.EJECTED || health.state() == State.TRIAL;
		return leased ? new ServerHealth(health.server(), State.AVOIDED, LAST_CHOICE) : health;
	}

}
