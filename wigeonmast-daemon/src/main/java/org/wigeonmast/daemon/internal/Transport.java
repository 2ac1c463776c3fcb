package org.wigeonmast.daemon.internal;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.Slice;

/**
 * Sends encoded messages to peers.
 * <p>
 * Thread safety: called on the control loop.
 */
public interface Transport {

	/**
	 * Returns where this daemon receives messages.
	 * @return the address
	 */
	HostAddress address();

	/**
	 * Sends a message, which may be lost.
	 * @param to the receiver
	 * @param slice the slice
	 * @param content the encoded message
	 */
	void send(HostAddress to, Slice slice, byte[] content);

}
