package org.wigeonmast.health;

import java.util.List;
import java.util.Set;

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
	 * A permit was obtained; the server counts as ejected until the permit is lost or no
	 * longer wanted.
	 *
	 * @param server the backend server
	 * @param permit the number of the permit
	 */
	record PermitObtained(BackendServerId server, int permit) implements HealthEffect {
	}

	/**
	 * No permit could be obtained; the request is repeated.
	 *
	 * @param server the backend server
	 * @param reasons the daemons' reasons in one line
	 */
	record PermitDenied(BackendServerId server, String reasons) implements HealthEffect {
	}

	/**
	 * A permit was lost, because too few daemons renewed their promises.
	 *
	 * @param server the backend server
	 * @param permit the number of the permit
	 */
	record PermitLost(BackendServerId server, int permit) implements HealthEffect {
	}

	/**
	 * The backend servers that this daemon cannot reach changed.
	 *
	 * @param servers the servers to avoid, which others may use
	 */
	record PathsAvoided(Set<BackendServerId> servers) implements HealthEffect {
	}

	/**
	 * The ejections that this daemon follows changed.
	 *
	 * @param service the service
	 * @param ejections the ejections
	 */
	record Followed(ServiceName service, List<FollowedEjection> ejections) implements HealthEffect {
	}

	/**
	 * Send one probe to a backend server and report its end with
	 * {@link HealthInput.ProbeEnded}.
	 *
	 * @param server the backend server
	 */
	record Probe(BackendServerId server) implements HealthEffect {
	}

}
