package org.wigeonmast.daemon.internal;

import java.util.function.Consumer;

import org.wigeonmast.core.HostAddress;

/**
 * Sends single probes to backend servers.
 * <p>
 * Thread safety: usable from any thread; results come on any thread.
 */
@FunctionalInterface
public interface Prober {

	/**
	 * Sends one probe.
	 * @param address the server's address
	 * @param result takes whether the server answered without an error of its own
	 */
	void probe(HostAddress address, Consumer<Boolean> result);

}
