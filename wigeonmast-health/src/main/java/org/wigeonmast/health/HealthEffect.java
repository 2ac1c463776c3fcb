package org.wigeonmast.health;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;

/**
 * What the components of this module ask their caller to do.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface HealthEffect {

	/**
	 * Send a message to a daemon, which may be this one.
	 *
	 * @param receiver the daemon
	 * @param message the message
	 */
	record Send(DaemonId receiver, HealthMessage message) implements HealthEffect {
	}

	/**
	 * Send a message to every daemon that sends work to the service.
	 *
	 * @param message the message
	 */
	record Broadcast(HealthMessage message) implements HealthEffect {
	}

	/**
	 * Use a changed judgement for dispatch.
	 *
	 * @param service the service
	 * @param servers the judgement about each backend server
	 */
	record Judged(ServiceName service, List<ServerHealth> servers) implements HealthEffect {

		/**
		 * Creates a judgement.
		 * @param service the service
		 * @param servers the judgement about each backend server
		 */
		public Judged {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * Record an audit entry and log its event.
	 *
	 * @param event the event
	 * @param entry the entry
	 */
	record Recorded(HealthEvent event, AuditEntry entry) implements HealthEffect {
	}

	/**
	 * Send one probe to a backend server and report it as an {@link Observation}.
	 *
	 * @param server the backend server
	 */
	record Probe(BackendServerId server) implements HealthEffect {
	}

}
