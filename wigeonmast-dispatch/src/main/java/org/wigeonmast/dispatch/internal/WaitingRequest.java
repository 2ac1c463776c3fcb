package org.wigeonmast.dispatch.internal;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.DispatchMessage.SlotRequest;

/**
 * A request that waits in an owner's queue.
 * <p>
 * Thread safety: immutable.
 *
 * @param ticket the ticket
 * @param request the request as it was received
 * @param sequence the position in the order of arrival
 * @param arrivalMs the monotonic time of arrival in milliseconds
 * @param deadlineMs the monotonic time of the request's deadline in milliseconds
 * @param refuseAtMs the monotonic time in milliseconds at which it is refused if it still
 * waits
 */
public record WaitingRequest(Ticket ticket, SlotRequest request, long sequence, long arrivalMs, long deadlineMs,
		long refuseAtMs) {

	/**
	 * A ticket with the daemon that issued it.
	 *
	 * @param daemon the entry daemon
	 * @param number the number of the ticket, unique within one incarnation of the daemon
	 */
	public record Ticket(DaemonId daemon, long number) {
	}

}
