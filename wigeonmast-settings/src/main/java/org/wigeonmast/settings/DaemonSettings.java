package org.wigeonmast.settings;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * The validated settings of one daemon.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the daemon's name, unique in the fleet
 * @param failureDomain the failure domain in which the daemon runs
 * @param logLevel the lowest level at which events are logged
 * @param callers the address on which callers connect; may be a wildcard address
 * @param peers the settings of the links to the other daemons
 * @param admin the address of the admin interface; may be a wildcard address
 * @param store the settings of the platform's configuration store
 * @param limits the resource limits of the daemon
 */
public record DaemonSettings(String name, FailureDomain failureDomain, Level logLevel, HostAddress callers,
		PeerSettings peers, HostAddress admin, StoreSettings store, LimitSettings limits) {
}
