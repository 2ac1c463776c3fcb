package org.wigeonmast.balance;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;

/**
 * What a backend server publishes about itself.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier
 * @param startedAt the time of day of its start in milliseconds, which differs when a
 * server starts again under its identifier
 * @param service the service that it serves
 * @param address where it accepts HTTP/1.1 connections
 * @param failureDomain where it runs
 * @param slots the number of requests that it runs at once
 * @param leaving whether it takes no new work
 * @param warmup how much longer it is slow after its start, in milliseconds
 */
public record ServerRecord(BackendServerId id, long startedAt, ServiceName service, HostAddress address,
		FailureDomain failureDomain, int slots, boolean leaving, long warmup) {

	/**
	 * Returns whether another record describes the same start of the same server.
	 * @param other the other record
	 * @return whether it does
	 */
	public boolean isSameStart(ServerRecord other) {
		return this.id.equals(other.id) && this.startedAt == other.startedAt && this.service.equals(other.service)
				&& this.address.equals(other.address);
	}

}
