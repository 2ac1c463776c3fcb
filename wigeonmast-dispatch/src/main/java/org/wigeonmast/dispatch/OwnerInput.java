package org.wigeonmast.dispatch;

import java.util.Collection;
import java.util.List;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.Service;

/**
 * An input of {@link OwnedServices}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface OwnerInput {

	/**
	 * A message from a daemon; replies to entry daemons are ignored.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, DispatchMessage message) implements OwnerInput {
	}

	/**
	 * The accepted manifest defines this service, whether it is new, changed or
	 * unchanged.
	 *
	 * @param service the service
	 */
	record ServiceChanged(Service service) implements OwnerInput {
	}

	/**
	 * The accepted manifest no longer defines this service.
	 *
	 * @param service the service
	 */
	record ServiceRemoved(ServiceName service) implements OwnerInput {
	}

	/**
	 * The health of the servers of this region, as assessed from pooled evidence,
	 * changed, or ejection leases were renewed.
	 *
	 * @param service the service
	 * @param servers the health by server
	 */
	record HealthChanged(ServiceName service, List<DispatchMessage.AdvisedServer> servers) implements OwnerInput {

		public HealthChanged {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * The owners of a service in this region changed. A daemon that stops is no longer
	 * among them.
	 *
	 * @param service the service
	 * @param owners the live daemons in rank order, the owner first
	 */
	record OwnersChanged(ServiceName service, List<DaemonId> owners) implements OwnerInput {

		public OwnersChanged {
			owners = List.copyOf(owners);
		}

	}

	/**
	 * The daemons of this region changed.
	 *
	 * @param live the live daemons, including this one
	 * @param declared the maximum number of daemons in the region: the sum over its
	 * failure domains in the manifest
	 */
	record DaemonsChanged(Collection<DaemonId> live, int declared) implements OwnerInput {

		public DaemonsChanged {
			live = List.copyOf(live);
		}

	}

	/**
	 * A daemon of any region was declared dead, or was replaced by one with a higher
	 * incarnation.
	 *
	 * @param daemon the daemon
	 */
	record DaemonDead(DaemonId daemon) implements OwnerInput {
	}

	/** The process detected that it had been paused. */
	record Paused() implements OwnerInput {
	}

}
