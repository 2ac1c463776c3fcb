package org.wigeonmast.settings;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * The settings of one daemon, checked as a whole.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the daemon's name, unique in the fleet
 * @param failureDomain the failure domain in which the daemon runs
 * @param logLevel the least level at which events are logged
 * @param callers where callers connect; may be the any address
 * @param peers the links to the other daemons
 * @param admin where operators connect; may be the any address
 * @param store the platform's configuration store
 * @param limits the bounds on what one daemon holds and sends
 */
public record DaemonSettings(String name, FailureDomain failureDomain, Level logLevel, HostAddress callers,
		PeerSettings peers, HostAddress admin, StoreSettings store, LimitSettings limits) {
}
