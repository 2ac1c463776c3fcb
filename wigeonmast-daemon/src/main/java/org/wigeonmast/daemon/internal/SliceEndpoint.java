package org.wigeonmast.daemon.internal;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;

/**
 * Endpoint that sends the messages of one slice.
 * <p>
 * Thread safety: confined to the control thread.
 *
 * @param <M> the messages of the slice
 */
public interface SliceEndpoint<M> {

	/**
	 * Sends a message to an address; it may be lost.
	 * @param to the address on which the receiver accepts links
	 * @param message the message
	 */
	void send(HostAddress to, M message);

	/**
	 * Sends a message to a member, or to this daemon itself; it may be lost.
	 * @param to the receiver
	 * @param message the message
	 */
	void send(DaemonId to, M message);

}
