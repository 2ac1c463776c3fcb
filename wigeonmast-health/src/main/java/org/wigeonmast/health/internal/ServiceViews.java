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
 * What one daemon knows about services and the availability of their backend servers.
 * <p>
 * Thread safety: none. Invariant: only servers that are not available take space.
 */
public final class ServiceViews {

	private final Map<ServiceName, ServicePlan> plans = new HashMap<>();

	private final Map<BackendServerId, Availability> unavailable = new HashMap<>();

	/**
	 * Takes a change of a plan or of a server's availability; other inputs are ignored.
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
	 * Returns what is known about a backend server.
	 * @param server the server
	 * @return the availability
	 */
	public Availability availability(BackendServerId server) {
		return this.unavailable.getOrDefault(server, Availability.AVAILABLE);
	}

	/**
	 * Returns how many backend servers of a service are leaving, dead or cold.
	 * @param plan the service
	 * @return the number
	 */
	public int unavailable(ServicePlan plan) {
		if (this.unavailable.isEmpty()) {
			return 0;
		}
		return (int) plan.servers().stream().filter((server) -> this.unavailable.containsKey(server.id())).count();
	}

}
