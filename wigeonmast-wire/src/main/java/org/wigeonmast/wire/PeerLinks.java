package org.wigeonmast.wire;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.internal.NettyPeerLinks;

/**
 * The links between this daemon and its peers.
 * <p>
 * Thread safety: usable from any thread. Invariants: a message arrives at most once and
 * unchanged, or is lost; messages of one sender on one connection keep their order;
 * messages are accepted only from holders of the shared key.
 */
public interface PeerLinks extends AutoCloseable {

	/**
	 * Opens the listener and returns the links.
	 * @param settings the settings
	 * @param listener the listener for incoming messages
	 * @return the open links
	 * @throws LinkListenerException if the address cannot be bound
	 */
	static PeerLinks open(LinkSettings settings, MessageListener listener) throws LinkListenerException {
		return NettyPeerLinks.open(settings, listener);
	}

	/**
	 * Returns the address on which links are accepted, with the bound port if the
	 * settings have port 0.
	 * @return the address
	 */
	HostAddress address();

	/**
	 * Sends a message; it is lost without an error if the peer cannot be reached.
	 * @param peer the address on which the peer accepts links
	 * @param slice the slice
	 * @param content the encoded message, at most 1,050,000 bytes
	 */
	void send(HostAddress peer, Slice slice, byte[] content);

	/**
	 * Returns the counts of messages and bytes sent and received since the start.
	 * @return a snapshot of the counts
	 */
	LinkCounts counts();

	@Override
	void close();

}
