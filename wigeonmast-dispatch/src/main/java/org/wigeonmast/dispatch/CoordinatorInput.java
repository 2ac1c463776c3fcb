package org.wigeonmast.dispatch;

import java.util.List;
import java.util.Set;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.Service;

/**
 * An input of a {@link RequestCoordinator}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface CoordinatorInput {

	/**
	 * An event that the proxy reports.
	 *
	 * @param event the event
	 */
	record ProxyReport(RequestEvent event) implements CoordinatorInput {
	}

	/**
	 * A message from a daemon: {@link DispatchMessage.SlotQueued},
	 * {@link DispatchMessage.SlotGrant}, {@link DispatchMessage.SlotRefusal},
	 * {@link DispatchMessage.DispatchAdvice} or {@link DispatchMessage.KeyVerdict};
	 * others are ignored.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, DispatchMessage message) implements CoordinatorInput {
	}

	/**
	 * The accepted manifest defines this service, whether it is new, changed or
	 * unchanged.
	 *
	 * @param service the service
	 */
	record ServiceChanged(Service service) implements CoordinatorInput {
	}

	/**
	 * The accepted manifest no longer defines this service; requests in flight continue.
	 *
	 * @param service the service
	 */
	record ServiceRemoved(ServiceName service) implements CoordinatorInput {
	}

	/**
	 * The local health view of the servers of a service changed; servers that are not
	 * listed are in service with full weight.
	 *
	 * @param service the service
	 * @param servers the health by server
	 */
	record HealthChanged(ServiceName service, List<ServerHealth> servers) implements CoordinatorInput {

		public HealthChanged {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * The owners of a service in a region changed.
	 *
	 * @param service the service
	 * @param region the region
	 * @param owners the live daemons in rank order, the owner first; at least the first
	 * two if there are two or more
	 */
	record OwnersChanged(ServiceName service, Region region, List<DaemonId> owners) implements CoordinatorInput {

		public OwnersChanged {
			owners = List.copyOf(owners);
		}

	}

	/**
	 * The regions in which daemons may accept requests, from the manifest. Until this
	 * input is handled no possible duplicate is admitted.
	 *
	 * @param regions the regions
	 */
	record RegionsChanged(Set<Region> regions) implements CoordinatorInput {

		public RegionsChanged {
			regions = Set.copyOf(regions);
		}

	}

	/**
	 * The difference between the time of day and the monotonic time. Until it is known
	 * the age of each key is assumed to be the key lifetime.
	 *
	 * @param offset the time of day minus the monotonic time, in milliseconds
	 */
	record TimeOfDay(long offset) implements CoordinatorInput {
	}

}
