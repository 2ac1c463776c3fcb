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
 * @param home where it runs
 * @param callers where callers connect
 * @param readiness where the load balancer asks for readiness
 * @param readinessPath the path of that question
 * @param metrics where metrics are served
 * @param peers where datagrams of peers are received
 * @param seeds where to ask for peers
 * @param headers the names of header fields
 * @param balance the settings of the balance
 * @param stopping the longest time in milliseconds from the signal to stop to the end
 */
public record BalancedSettings(String name, FailureDomain home, HostAddress callers, HostAddress readiness,
		String readinessPath, HostAddress metrics, HostAddress peers, List<HostAddress> seeds,
		HeaderConventions headers, BalanceSettings balance, long stopping) {

	public BalancedSettings {
		seeds = List.copyOf(seeds);
	}

}
