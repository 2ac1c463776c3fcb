package org.wigeonmast.balance.peer;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * A daemon of the fleet.
 * <p>
 * Thread safety: immutable.
 *
 * @param address the address at which it receives datagrams
 * @param failureDomain the failure domain in which it runs
 */
public record Peer(HostAddress address, FailureDomain failureDomain) {
}
