package org.wigeonmast.daemon.balanced;

import java.util.List;

import org.wigeonmast.balance.BalanceSettings;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.proxy.HeaderConventions;

/**
 * Settings of a daemon of a fleet without owners.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the name of the daemon
 * @param failureDomain the failure domain of its host
 * @param callers the address for callers
 * @param readiness the address on which the load balancer checks readiness
 * @param readinessPath the path of the readiness check
 * @param metrics the address on which metrics are served
 * @param peers the address on which datagrams from peers are received
 * @param seeds the addresses of daemons to discover peers from
 * @param headers the names of the HTTP header fields
 * @param balance the settings of load balancing
 * @param stopTimeoutMs the maximum time in milliseconds from the stop signal to the end
 * of the process
 * @param maxChangeDelayMs the time in milliseconds within which a change of the published
 * state must take effect
 */
public record BalancedSettings(String name, FailureDomain failureDomain, HostAddress callers, HostAddress readiness,
		String readinessPath, HostAddress metrics, HostAddress peers, List<HostAddress> seeds,
		HeaderConventions headers, BalanceSettings balance, long stopTimeoutMs, long maxChangeDelayMs) {

	public BalancedSettings {
		seeds = List.copyOf(seeds);
	}

}
