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
 * Server states used on the request path, derived from the weights advised by owners, the
 * ejections with a current lease and the servers known to be leaving.
 * <p>
 * Thread safety: confined to the control thread. Invariant: a server counts as ejected
 * only while an ejection is in force at this daemon; advice alone makes it the last
 * choice, because advice carries no lease.
 */
final class ServerStates {

	/**
	 * Weight of a server that an owner advises as ejected or on trial, or whose path is
	 * avoided, while no lease is known here.
	 */
	private static final double LAST_CHOICE_WEIGHT = 0.05;

	/** Weight of a server on trial. */
	private static final double TRIAL_WEIGHT = 0.1;

	private final Map<ServiceName, Map<DaemonId, List<AdvisedServer>>> adviceByOwner = new HashMap<>();

	private final Map<ServiceName, List<ActiveEjection>> activeEjections = new HashMap<>();

	private final Set<BackendServerId> avoidedServers = new HashSet<>();

	private final Set<BackendServerId> leavingServers = new HashSet<>();

	void setAdvice(DaemonId owner, ServiceName service, List<AdvisedServer> servers) {
		Map<DaemonId, List<AdvisedServer>> byOwner = this.adviceByOwner.computeIfAbsent(service,
				(added) -> new LinkedHashMap<>());
		// The latest advice is inserted last, so that it overrides that of an earlier
		// owner.
		byOwner.remove(owner);
		byOwner.put(owner, servers);
	}

	void setEjections(ServiceName service, List<ActiveEjection> ejections) {
		this.activeEjections.put(service, ejections);
	}

	void setLeaving(Set<BackendServerId> servers) {
		this.leavingServers.clear();
		this.leavingServers.addAll(servers);
	}

	void setAvoidedServers(Set<BackendServerId> servers) {
		this.avoidedServers.clear();
		this.avoidedServers.addAll(servers);
	}

	void retainOwners(Set<DaemonId> live) {
		this.adviceByOwner.values().forEach((byOwner) -> byOwner.keySet().retainAll(live));
	}

	void remove(ServiceName service) {
		this.adviceByOwner.remove(service);
		this.activeEjections.remove(service);
	}

	List<ServerHealth> statesOf(ServiceName service) {
		Map<BackendServerId, ServerHealth> states = new LinkedHashMap<>();
		for (List<AdvisedServer> servers : this.adviceByOwner.getOrDefault(service, Map.of()).values()) {
			servers.forEach((server) -> states.put(server.health().server(), demoteUnleased(server.health())));
		}
		this.avoidedServers
			.forEach((server) -> states.put(server, new ServerHealth(server, State.AVOIDED, LAST_CHOICE_WEIGHT)));
		for (ActiveEjection ejection : this.activeEjections.getOrDefault(service, List.of())) {
			ServerHealth health = ejection.trial() ? new ServerHealth(ejection.server(), State.TRIAL, TRIAL_WEIGHT)
					: new ServerHealth(ejection.server(), State.EJECTED, 0);
			states.put(ejection.server(), health);
		}
		this.leavingServers.forEach((server) -> states.put(server, new ServerHealth(server, State.LEAVING, 0)));
		return new ArrayList<>(states.values());
	}

	private static ServerHealth demoteUnleased(ServerHealth health) {
		boolean leased = health.state() == State.EJECTED || health.state() == State.TRIAL;
		return leased ? new ServerHealth(health.server(), State.AVOIDED, LAST_CHOICE_WEIGHT) : health;
	}

}
