package org.wigeonmast.daemon.internal;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.PeerLinks;
import org.wigeonmast.wire.Slice;

/**
 * {@link Transport} over the links between daemons.
 * <p>
 * Thread safety: usable from any thread.
 *
 * @param links the links
 */
record LinkTransport(PeerLinks links) implements Transport {

	@Override
	public HostAddress address() {
		return this.links.address();
	}

	@Override
	public void send(HostAddress to, Slice slice, byte[] content) {
		this.links.send(to, slice, content);
	}

}
