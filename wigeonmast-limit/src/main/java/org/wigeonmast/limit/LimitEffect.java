package org.wigeonmast.limit;

import java.util.List;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.RequestId;

/**
 * Effect that the {@link RateLimiter} asks its caller to carry out.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitEffect {

	/**
	 * Admits a request.
	 *
	 * @param request the request
	 */
	record Admitted(RequestId request) implements LimitEffect {
	}

	/**
	 * Refuses a request before it is dispatched.
	 *
	 * @param request the request
	 * @param subject the subject whose limit was reached
	 * @param retryAfterMs the time in milliseconds after which the caller should retry
	 */
	record Refused(RequestId request, LimitSubject subject, long retryAfterMs) implements LimitEffect {
	}

	/**
	 * Sends a message to a daemon, which may be this one.
	 *
	 * @param receiver the receiving daemon
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
	 * @param parameters the values for the placeholders of the event's text
	 */
	record Logged(LimitEvent event, List<Object> parameters) implements LimitEffect {
	}

}
