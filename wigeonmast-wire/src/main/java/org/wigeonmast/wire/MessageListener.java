package org.wigeonmast.wire;

import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;

/**
 * Takes the messages that arrive on links.
 * <p>
 * Thread safety: called on the links' event loops; implementations hand over to the
 * control thread.
 */
@FunctionalInterface
public interface MessageListener {

	/**
	 * Takes a message of an authenticated daemon.
	 * @param from the sender
	 * @param address where the sender accepts links, as it states itself
	 * @param slice the slice
	 * @param content the encoded message
	 */
	void onMessage(DaemonId from, HostAddress address, Slice slice, byte[] content);

}
