package org.wigeonmast.balance.peer;

import org.wigeonmast.core.BackendServerId;

/**
 * A report of a daemon that it suspects a backend server of failing.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the server
 * @param percent the estimated probability in percent that it is failing
 * @param age the age of the evidence in milliseconds
 */
public record SuspicionReport(BackendServerId server, int percent, long age) {
}
