package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;

/**
 * An ejection that an entry daemon follows until its lease ends.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the backend server
 * @param owner the daemon that holds the permit
 * @param permit the number of the permit
 * @param until the monotonic time of this daemon in milliseconds from which the ejection
 * must no longer be followed
 * @param strength the strength of the evidence
 * @param trial whether a few idempotent requests may be sent to the server
 * @param evidence why, in one line
 */
public record FollowedEjection(BackendServerId server, DaemonId owner, int permit, long until, double strength,
		boolean trial, String evidence) {
}
