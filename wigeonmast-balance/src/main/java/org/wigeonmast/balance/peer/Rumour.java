package org.wigeonmast.balance.peer;

import org.wigeonmast.core.BackendServerId;

/**
 * What a daemon believes of a suspected backend server.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the server
 * @param percent the probability that it is failing
 * @param age the time in milliseconds since the evidence for it
 */
public record Rumour(BackendServerId server, int percent, long age) {
}
