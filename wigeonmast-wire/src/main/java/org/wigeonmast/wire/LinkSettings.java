package org.wigeonmast.wire;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;

/**
 * Settings of the links of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param self the identity of the daemon
 * @param address the address on which it accepts links
 * @param key the key that all daemons of the fleet share
 */
public record LinkSettings(DaemonId self, HostAddress address, SharedKey key) {
}
