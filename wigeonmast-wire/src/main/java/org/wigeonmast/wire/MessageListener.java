package org.wigeonmast.wire;

import org.wigeonmast.core.DaemonId;

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
	 * @param slice the slice
	 * @param content the encoded message
	 */
	void received(DaemonId from, Slice slice, byte[] content);

}
