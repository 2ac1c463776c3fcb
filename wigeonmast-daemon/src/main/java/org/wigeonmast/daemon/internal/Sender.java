package org.wigeonmast.daemon.internal;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;

/**
 * The sender of a message between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param id its identity
 * @param address the address on which it accepts links
 */
public record Sender(DaemonId id, HostAddress address) {
}
