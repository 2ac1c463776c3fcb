package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Region;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Service;

/**
 * An entry daemon's view of one service.
 * <p>
 * Thread safety: none.
 */
public final class ServiceView {

	private final Map<Region, RegionView> regions = new LinkedHashMap<>();

	private final RetryBudget retryBudget = new RetryBudget();

	private Service service;

	/**
	 * Creates a view.
	 * @param service the service
	 */
	public ServiceView(Service service) {
		this.service = service;
		setService(service);
	}

	/**
	 * Replaces the service after a manifest change.
	 * @param service the service of the same name
	 */
	public void setService(Service service) {
		this.service = service;
		Map<Region, List<BackendServer>> servers = new HashMap<>();
		for (BackendServer server : service.servers()) {
			servers.computeIfAbsent(server.failureDomain().region(), (region) -> new ArrayList<>()).add(server);
		}
		servers.keySet().forEach(this::region);
		this.regions.forEach((region, view) -> view.selector().setServers(servers.getOrDefault(region, List.of())));
	}

	/**
	 * Replaces the health of all servers.
	 * @param health the health by server; servers that are not listed are in service with
	 * full weight
	 */
	public void setHealth(Collection<ServerHealth> health) {
		Map<BackendServerId, ServerHealth> byServer = new HashMap<>();
		health.forEach((server) -> byServer.put(server.server(), server));
		this.regions.values().forEach((view) -> view.selector().setHealth(byServer));
	}

	/**
	 * Returns the service.
	 * @return the service
	 */
	public Service service() {
		return this.service;
	}

	/**
	 * Returns the view of a region and creates it on first use.
	 * @param region the region
	 * @return the view
	 */
	public RegionView region(Region region) {
		return this.regions.computeIfAbsent(region, (key) -> new RegionView(this.service.name(), key));
	}

	/**
	 * Returns the views of all regions in which the service has or had servers or owners.
	 * @return the views
	 */
	public Collection<RegionView> regions() {
		return this.regions.values();
	}

	/**
	 * Returns the retry budget.
	 * @return the budget
	 */
	public RetryBudget retryBudget() {
		return this.retryBudget;
	}

}
