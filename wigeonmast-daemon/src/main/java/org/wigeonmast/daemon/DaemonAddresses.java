package org.wigeonmast.daemon;

import org.wigeonmast.core.HostAddress;

/**
 * The addresses on which a started daemon listens.
 * <p>
 * Thread safety: immutable.
 *
 * @param callers the address for callers
 * @param peers the address for links from other daemons
 * @param operators the address of the admin interface
 */
public record DaemonAddresses(HostAddress callers, HostAddress peers, HostAddress operators) {
}
