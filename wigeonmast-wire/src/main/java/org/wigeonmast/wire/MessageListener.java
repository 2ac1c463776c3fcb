package org.wigeonmast.wire;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;

/**
 * Listener for the messages that arrive on links.
 * <p>
 * Thread safety: called on the links' event loops; implementations pass the messages to
 * the control thread.
 */
@FunctionalInterface
public interface MessageListener {

	/**
	 * Called when a message of an authenticated daemon arrives.
	 * @param from the sender
	 * @param address the address on which the sender accepts links, as it announced
	 * itself
	 * @param slice the slice
	 * @param content the encoded message
	 */
	void onMessage(DaemonId from, HostAddress address, Slice slice, byte[] content);

}
