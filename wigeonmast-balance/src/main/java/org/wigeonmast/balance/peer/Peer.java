package org.wigeonmast.balance.peer;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * A daemon of the fleet.
 * <p>
 * Thread safety: immutable.
 *
 * @param address where it receives datagrams
 * @param failureDomain where it runs
 * @param leaving whether it is stopping
 */
public record Peer(HostAddress address, FailureDomain failureDomain, boolean leaving) {
}
