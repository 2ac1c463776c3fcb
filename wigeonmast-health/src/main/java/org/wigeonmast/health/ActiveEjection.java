package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;

/**
 * An ejection that an entry daemon applies until its lease expires.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the backend server
 * @param owner the daemon that holds the permit
 * @param permit the number of the permit
 * @param expiresAt the monotonic time of this daemon in milliseconds at which the lease
 * expires; from then on the ejection must not be applied
 * @param strength the strength of the evidence, on the scale of the detection threshold
 * @param trial whether a few idempotent requests may be sent to the server
 * @param evidence the evidence in one line
 */
public record ActiveEjection(BackendServerId server, DaemonId owner, int permit, long expiresAt, double strength,
		boolean trial, String evidence) {
}
