package org.wigeonmast.dispatch;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.Observation;

/**
 * An effect of a dispatch component, to be carried out by the daemon.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface DispatchEffect {

	/**
	 * Passes a command to the proxy.
	 *
	 * @param command the command
	 */
	record Exchange(ExchangeCommand command) implements DispatchEffect {
	}

	/**
	 * Sends a message to a daemon, which may be this one.
	 *
	 * @param receiver the receiver
	 * @param message the message
	 */
	record Send(DaemonId receiver, DispatchMessage message) implements DispatchEffect {
	}

	/**
	 * Passes evidence to the health component.
	 *
	 * @param observation the evidence
	 */
	record ReportObservation(Observation observation) implements DispatchEffect {
	}

	/**
	 * Passes the health of servers as advised by an owner to the health component, which
	 * applies the local floor guard and answers with
	 * {@link CoordinatorInput.HealthChanged}.
	 *
	 * @param owner the owner
	 * @param service the service
	 * @param servers the advised health by server
	 */
	record ApplyAdvice(DaemonId owner, ServiceName service,
			List<DispatchMessage.AdvisedServer> servers) implements DispatchEffect {
	}

	/**
	 * Reports that a backend server stated that it is leaving.
	 *
	 * @param service the service
	 * @param server the backend server
	 */
	record ReportLeaving(ServiceName service, BackendServerId server) implements DispatchEffect {
	}

	/**
	 * Reports the end of a request, once for each request.
	 *
	 * @param request the request
	 * @param outcome the outcome
	 */
	record Ended(RequestId request, RequestOutcome outcome) implements DispatchEffect {
	}

	/**
	 * Adds an entry to the audit trail.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements DispatchEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(DispatchEvent event, List<Object> parameters) implements DispatchEffect {
	}

}
