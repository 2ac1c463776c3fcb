package org.wigeonmast.daemon;

import org.wigeonmast.core.HostAddress;

/**
 * The addresses on which a started daemon listens.
 * <p>
 * Thread safety: immutable.
 *
 * @param callers where callers connect
 * @param peers where other daemons connect
 * @param operators where operators connect
 */
public record DaemonAddresses(HostAddress callers, HostAddress peers, HostAddress operators) {
}
