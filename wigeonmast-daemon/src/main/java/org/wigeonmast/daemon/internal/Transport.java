package org.wigeonmast.daemon.internal;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.Slice;

/**
 * Transport of encoded messages to peers.
 * <p>
 * Thread safety: called on the control loop.
 */
public interface Transport {

	/**
	 * Returns the address on which this daemon receives messages.
	 * @return the address
	 */
	HostAddress address();

	/**
	 * Sends a message without guarantee of delivery.
	 * @param to the receiver
	 * @param slice the slice
	 * @param content the encoded message
	 */
	void send(HostAddress to, Slice slice, byte[] content);

}
