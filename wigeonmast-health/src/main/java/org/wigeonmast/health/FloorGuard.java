package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.health.internal.ServiceViews;

/**
 * Keeps the ejections that one daemon follows above the floor of a service.
 * <p>
 * Thread safety: none; it reads the views of the thread that owns them. Invariant: with
 * the ejections that it lets through, the available servers number at least the floor, or
 * all of them are in service.
 */
public final class FloorGuard {

	private static final Comparator<FollowedEjection> STRONGEST_FIRST = Comparator
		.comparingDouble(FollowedEjection::strength)
		.reversed()
		.thenComparing((ejection) -> ejection.server().value());

	private final ServiceViews views;

	/**
	 * Creates a guard.
	 * @param views what the daemon knows about the services
	 */
	public FloorGuard(ServiceViews views) {
		this.views = views;
	}

	/**
	 * Selects the ejections to follow.
	 * @param plan the service
	 * @param ejections the ejections whose leases last
	 * @return the ejections with the strongest evidence that leave the floor in service
	 */
	public List<FollowedEjection> select(ServicePlan plan, List<FollowedEjection> ejections) {
		int spare = plan.servers().size() - this.views.unavailable(plan) - plan.floor();
		List<FollowedEjection> sorted = new ArrayList<>(ejections);
		sorted.sort(STRONGEST_FIRST);
		Set<BackendServerId> ejected = new HashSet<>();
		List<FollowedEjection> selected = new ArrayList<>();
		for (FollowedEjection ejection : sorted) {
			boolean costs = this.views.availability(ejection.server()) == Availability.AVAILABLE;
			if (ejected.contains(ejection.server()) || !costs || ejected.size() < spare) {
				selected.add(ejection);
				if (costs) {
					ejected.add(ejection.server());
				}
			}
		}
		return selected;
	}

}
