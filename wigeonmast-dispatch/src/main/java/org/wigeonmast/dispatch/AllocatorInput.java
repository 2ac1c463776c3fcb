package org.wigeonmast.dispatch;

import java.util.List;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.manifest.Service;

/**
 * An input of a {@link SlotAllocator}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface AllocatorInput {

	/**
	 * A message from a daemon: {@link DispatchMessage.SlotRequest},
	 * {@link DispatchMessage.SlotCancel}, {@link DispatchMessage.SlotRelease} or
	 * {@link DispatchMessage.OutcomeReport}; others are ignored.
	 *
	 * @param sender the sender
	 * @param message the message
	 */
	record Received(DaemonId sender, DispatchMessage message) implements AllocatorInput {
	}

	/**
	 * A newly accepted manifest defines the service.
	 *
	 * @param service the service, with the same name as before
	 */
	record ServiceChanged(Service service) implements AllocatorInput {
	}

	/**
	 * The health of the region's servers changed; servers that are not listed are in
	 * service with full weight.
	 *
	 * @param servers the health by server, which is sent to entry daemons as advice
	 */
	record HealthChanged(List<DispatchMessage.AdvisedServer> servers) implements AllocatorInput {

		public HealthChanged {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * A daemon was declared dead, or was replaced by one with a higher incarnation.
	 *
	 * @param daemon the daemon
	 */
	record DaemonDead(DaemonId daemon) implements AllocatorInput {
	}

}
