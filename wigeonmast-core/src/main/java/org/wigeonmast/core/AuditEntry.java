package org.wigeonmast.core;

import java.util.Map;

/**
 * Record of one decision with its evidence.
 * <p>
 * Thread safety: immutable.
 *
 * @param time the monotonic time of the decision in milliseconds
 * @param kind the kind of decision
 * @param subject the subject of the decision: a backend server, a service, a member or a
 * version
 * @param step the step at which the decision was made
 * @param peer the daemon that decided, or the peer that the decision concerns
 * @param evidence the named values on which the decision is based, in a stable order
 */
public record AuditEntry(long time, AuditKind kind, String subject, Step step, String peer,
		Map<String, String> evidence) {
}
