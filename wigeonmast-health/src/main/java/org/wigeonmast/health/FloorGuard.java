package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.health.internal.ServiceDirectory;

/**
 * Filter of the ejections that one daemon applies, which keeps the floor of each service.
 * <p>
 * Thread safety: none; it reads state that another component owns, on the same thread.
 * Invariant: with the selected ejections, at least as many servers as the floor are in
 * service, or all available servers are.
 */
public final class FloorGuard {

	private static final Comparator<ActiveEjection> STRONGEST_FIRST = Comparator
		.comparingDouble(ActiveEjection::strength)
		.reversed()
		.thenComparing((ejection) -> ejection.server().value());

	private final ServiceDirectory services;

	/**
	 * Creates a guard.
	 * @param services the plans and availabilities that the daemon knows
	 */
	public FloorGuard(ServiceDirectory services) {
		this.services = services;
	}

	/**
	 * Selects the ejections to apply.
	 * @param plan the service as the manifest describes it
	 * @param ejections the ejections whose leases have not expired
	 * @return the ejections with the strongest evidence that leave the floor in service
	 */
	public List<ActiveEjection> select(ServicePlan plan, List<ActiveEjection> ejections) {
		int maxEjections = plan.servers().size() - this.services.unavailableCount(plan) - plan.floor();
		List<ActiveEjection> sorted = new ArrayList<>(ejections);
		sorted.sort(STRONGEST_FIRST);
		Set<BackendServerId> ejected = new HashSet<>();
		List<ActiveEjection> selected = new ArrayList<>();
		for (ActiveEjection ejection : sorted) {
			boolean reducesService = this.services.availability(ejection.server()) == Availability.AVAILABLE;
			if (ejected.contains(ejection.server()) || !reducesService || ejected.size() < maxEjections) {
				selected.add(ejection);
				if (reducesService) {
					ejected.add(ejection.server());
				}
			}
		}
		return selected;
	}

}
