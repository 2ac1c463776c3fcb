package org.wigeonmast.limit;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;

/**
 * An effect of the {@link LimitGate}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitEffect {

	/**
	 * Lets a request pass.
	 *
	 * @param request the request
	 */
	record Admitted(RequestId request) implements LimitEffect {
	}

	/**
	 * Refuses a request, which was not run.
	 *
	 * @param request the request
	 * @param subject the subject whose limit is reached
	 * @param retryAfter the advised wait in milliseconds
	 */
	record Refused(RequestId request, LimitSubject subject, long retryAfter) implements LimitEffect {
	}

	/**
	 * Sends a message to a daemon, which may be this one.
	 *
	 * @param receiver the receiver
	 * @param message the message
	 */
	record Send(DaemonId receiver, LimitMessage message) implements LimitEffect {
	}

	/**
	 * Adds an entry to the audit trail.
	 *
	 * @param entry the entry
	 */
	record Audit(AuditEntry entry) implements LimitEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(LimitEvent event, List<Object> parameters) implements LimitEffect {
	}

}
