package org.wigeonmast.daemon.internal;

import java.util.function.Consumer;

import org.wigeonmast.core.HostAddress;

/**
 * Probe of a backend server.
 * <p>
 * Thread safety: usable from any thread; results are delivered on any thread.
 */
@FunctionalInterface
public interface Prober {

	/**
	 * Sends one probe.
	 * @param address the server's address
	 * @param result receives whether the server answered without a server error
	 */
	void probe(HostAddress address, Consumer<Boolean> result);

}
