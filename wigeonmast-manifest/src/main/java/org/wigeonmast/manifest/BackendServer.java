package org.wigeonmast.manifest;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;

/**
 * A backend server of a service.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier
 * @param address the address on which it accepts HTTP/1.1 connections
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it processes concurrently
 * @param connections the maximum number of connections that it accepts from the whole
 * fleet
 */
public record BackendServer(BackendServerId id, HostAddress address, FailureDomain failureDomain, int slots,
		int connections) {
}
