package org.wigeonmast.balance;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;

/**
 * The record that a backend server publishes about itself.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier
 * @param startedAt the time of its start in milliseconds since the epoch, which
 * distinguishes restarts of a server under the same identifier
 * @param service the service that it serves
 * @param address the address at which it accepts HTTP/1.1 connections
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it can run concurrently
 * @param leaving whether it is shutting down and accepts no new requests
 * @param warmup the remaining time in milliseconds of its warm-up, during which it is
 * slow
 */
public record ServerRecord(BackendServerId id, long startedAt, ServiceName service, HostAddress address,
		FailureDomain failureDomain, int slots, boolean leaving, long warmup) {

	/**
	 * Returns whether another record describes the same server without a restart between.
	 * @param other the other record
	 * @return whether identifier, start time, service and address are equal
	 */
	public boolean isSameStart(ServerRecord other) {
		return this.id.equals(other.id) && this.startedAt == other.startedAt && this.service.equals(other.service)
				&& this.address.equals(other.address);
	}

}
