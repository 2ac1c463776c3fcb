package org.wigeonmast.health.internal;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.Availability;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.ServicePlan;

/**
 * The plans of all services and the availability of their backend servers, as one daemon
 * knows them.
 * <p>
 * Thread safety: none. Invariant: only servers that are not available use memory.
 */
public final class ServiceDirectory {

	private final Map<ServiceName, ServicePlan> plans = new HashMap<>();

	private final Map<BackendServerId, Availability> unavailable = new HashMap<>();

	/**
	 * Applies a change of a plan or of the availability of a server; other inputs are
	 * ignored.
	 * @param input the input
	 */
	public void handle(HealthInput input) {
		switch (input) {
			case HealthInput.PlanChanged(ServicePlan plan) -> this.plans.put(plan.service(), plan);
			case HealthInput.ServiceRemoved(ServiceName service) -> this.plans.remove(service);
			case HealthInput.AvailabilityChanged(BackendServerId server, Availability availability) -> {
				if (availability == Availability.AVAILABLE) {
					this.unavailable.remove(server);
				}
				else {
					this.unavailable.put(server, availability);
				}
			}
			default -> {
			}
		}
	}

	/**
	 * Returns the plan of a service.
	 * @param service the service
	 * @return the plan, or {@code null} if the manifest has no such service
	 */
	public @Nullable ServicePlan plan(ServiceName service) {
		return this.plans.get(service);
	}

	/**
	 * Returns the availability of a backend server.
	 * @param server the server
	 * @return the availability, {@link Availability#AVAILABLE} if nothing else is known
	 */
	public Availability availability(BackendServerId server) {
		return this.unavailable.getOrDefault(server, Availability.AVAILABLE);
	}

	/**
	 * Returns the number of backend servers of a service that are leaving, dead or cold.
	 * @param plan the service as the manifest describes it
	 * @return the number of servers
	 */
	public int unavailableCount(ServicePlan plan) {
		if (this.unavailable.isEmpty()) {
			return 0;
		}
		return (int) plan.servers().stream().filter((server) -> this.unavailable.containsKey(server.id())).count();
	}

}
