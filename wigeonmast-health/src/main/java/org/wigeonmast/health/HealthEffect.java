package org.wigeonmast.health;

import java.util.List;
import java.util.Set;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;

/**
 * The effects that the components of this module return for the code around them to carry
 * out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface HealthEffect {

	/**
	 * Sends a message to a daemon, which may be this one.
	 *
	 * @param receiver the daemon
	 * @param message the message
	 */
	record Send(DaemonId receiver, HealthMessage message) implements HealthEffect {
	}

	/**
	 * Sends a message to every daemon that sends work to the service.
	 *
	 * @param message the message
	 */
	record Broadcast(HealthMessage message) implements HealthEffect {
	}

	/**
	 * Reports that the health of backend servers changed; dispatch must use the new
	 * health.
	 *
	 * @param service the service
	 * @param servers the health of each backend server of the region
	 */
	record HealthChanged(ServiceName service, List<ServerHealth> servers) implements HealthEffect {

		/**
		 * Creates a report.
		 * @param service the service
		 * @param servers the health of each backend server of the region
		 */
		public HealthChanged {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * Records an audit entry and logs its event.
	 *
	 * @param event the event
	 * @param entry the entry
	 */
	record RecordAudit(HealthEvent event, AuditEntry entry) implements HealthEffect {
	}

	/**
	 * Reports that a permit was obtained; the server counts as ejected until the permit
	 * is lost or the ejection is withdrawn.
	 *
	 * @param server the backend server
	 * @param permit the number of the permit
	 */
	record PermitObtained(BackendServerId server, int permit) implements HealthEffect {
	}

	/**
	 * Reports that no permit could be obtained; the request is retried.
	 *
	 * @param server the backend server
	 * @param reasons the reasons of the daemons in one line
	 */
	record PermitDenied(BackendServerId server, String reasons) implements HealthEffect {
	}

	/**
	 * Reports that a permit was lost, because too few daemons renewed their promises.
	 *
	 * @param server the backend server
	 * @param permit the number of the permit
	 */
	record PermitLost(BackendServerId server, int permit) implements HealthEffect {
	}

	/**
	 * Reports that the set of backend servers that this daemon alone cannot reach
	 * changed.
	 *
	 * @param servers the servers that this daemon must avoid; other daemons may use them
	 */
	record AvoidedServersChanged(Set<BackendServerId> servers) implements HealthEffect {
	}

	/**
	 * Reports that the ejections that this daemon applies changed.
	 *
	 * @param service the service
	 * @param ejections the ejections
	 */
	record ActiveEjectionsChanged(ServiceName service, List<ActiveEjection> ejections) implements HealthEffect {
	}

	/**
	 * Sends one probe to a backend server; its end must be reported with
	 * {@link HealthInput.ProbeEnded}.
	 *
	 * @param server the backend server
	 */
	record Probe(BackendServerId server) implements HealthEffect {
	}

}
