package org.wigeonmast.core;

import java.util.Map;

/**
 * The record of one decision with the evidence for it.
 * <p>
 * Thread safety: immutable.
 *
 * @param time the monotonic time of the decision in milliseconds
 * @param kind the kind of decision
 * @param subject what was decided about: a backend server, a service, a member or a
 * version
 * @param step the step at which it was decided
 * @param peer the deciding daemon or the peer concerned
 * @param evidence named values that led to the decision, in a stable order
 */
public record AuditEntry(long time, AuditKind kind, String subject, Step step, String peer,
		Map<String, String> evidence) {
}
