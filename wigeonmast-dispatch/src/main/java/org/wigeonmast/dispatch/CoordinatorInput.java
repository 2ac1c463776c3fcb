package org.wigeonmast.dispatch;

import java.util.List;
import java.util.Set;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.Service;

/**
 * An input of the {@link RequestCoordinator}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface CoordinatorInput {

	/**
	 * An event of the proxy.
	 *
	 * @param event the event
	 */
	record Proxied(RequestEvent event) implements CoordinatorInput {
	}

	/**
	 * A message of a daemon: {@link DispatchMessage.SlotQueued},
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
	 * The manifest in force has this service.
	 *
	 * @param service the service
	 */
	record ServiceChanged(Service service) implements CoordinatorInput {
	}

	/**
	 * The manifest in force no longer has this service; requests in flight go on.
	 *
	 * @param service the service
	 */
	record ServiceRemoved(ServiceName service) implements CoordinatorInput {
	}

	/**
	 * The local judgement about servers of a service changed; servers that are not named
	 * are in service with full weight.
	 *
	 * @param service the service
	 * @param servers the judgement
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
	 * two if there are so many
	 */
	record OwnersChanged(ServiceName service, Region region, List<DaemonId> owners) implements CoordinatorInput {

		public OwnersChanged {
			owners = List.copyOf(owners);
		}

	}

	/**
	 * The regions in which daemons may accept requests, from the manifest. Until this is
	 * known no possible repeat is admitted.
	 *
	 * @param regions the regions
	 */
	record RegionsChanged(Set<Region> regions) implements CoordinatorInput {

		public RegionsChanged {
			regions = Set.copyOf(regions);
		}

	}

	/**
	 * The difference of the time of day to the monotonic time; without it the age of a
	 * key is taken to be the lifetime of keys.
	 *
	 * @param offset the difference in milliseconds
	 */
	record TimeOfDay(long offset) implements CoordinatorInput {
	}

}
