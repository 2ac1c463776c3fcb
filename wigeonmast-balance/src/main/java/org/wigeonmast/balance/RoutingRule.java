package org.wigeonmast.balance;

import java.util.List;

import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.RoutePolicy;
import org.wigeonmast.manifest.WorkClass;

/**
 * A rule that routes requests by host and path prefix to services.
 * <p>
 * Thread safety: immutable. Invariants: there is at least one part, and the weights are
 * not all 0.
 *
 * @param host the host, in lower case and without port
 * @param prefix the path prefix, which begins and ends with a slash
 * @param parts the services among which the requests are divided
 * @param workClass the work class of the requests
 * @param idempotent whether a request may run more than once
 * @param plan the latency target and the limits of the requests
 */
public record RoutingRule(String host, String prefix, List<Part> parts, WorkClass workClass, boolean idempotent,
		RoutePolicy plan) {

	/** Wildcard for the method, because rules apply to all methods. */
	private static final String ANY_METHOD = "*";

	public RoutingRule {
		parts = List.copyOf(parts);
	}

	/**
	 * Selects the service of a request at random by the weights of the parts.
	 * @param position a random number from 0 (inclusive) to 1 (exclusive), uniform over
	 * requests
	 * @return the route to that service
	 */
	public Route choose(double position) {
		double total = this.parts.stream().mapToDouble(Part::weight).sum();
		double remaining = position * total;
		Part selection = this.parts.getLast();
		for (Part part : this.parts) {
			remaining -= part.weight();
			if (remaining < 0) {
				selection = part;
				break;
			}
		}
		return new Route(ANY_METHOD, this.prefix, selection.service(), this.workClass, this.idempotent,
				this.plan.maxTimeout(), this.plan);
	}

	/**
	 * A service and its share of the requests.
	 *
	 * @param service the service
	 * @param weight the weight, at least 0
	 */
	public record Part(ServiceName service, double weight) {
	}

}
