package org.wigeonmast.daemon;

import java.util.concurrent.CompletableFuture;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.internal.DaemonAssembly;
import org.wigeonmast.settings.DaemonSettings;

/**
 * A daemon of a fleet with owners.
 * <p>
 * Thread safety: usable from any thread. Invariant: the future of {@link #stop()}
 * completes only after every accepted request has finished.
 */
public final class Daemon implements AutoCloseable {

	private final DaemonAssembly assembly;

	/**
	 * Creates a daemon that is not started.
	 * @param settings the settings
	 * @throws WigeonmastException if the address for links cannot be bound
	 */
	public Daemon(DaemonSettings settings) throws WigeonmastException {
		this.assembly = new DaemonAssembly(settings, MillisecondClock.system());
	}

	/**
	 * Starts listening and joins the fleet.
	 * @return the addresses that were bound
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public DaemonAddresses start() throws WigeonmastException {
		return this.assembly.start();
	}

	/**
	 * Returns whether the daemon is ready to serve.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.assembly.isReady();
	}

	/**
	 * Returns whether an ejection of a backend server is in force at this daemon.
	 * @param server the backend server
	 * @return whether it is ejected
	 */
	public boolean isEjected(BackendServerId server) {
		return this.assembly.isEjected(server);
	}

	/**
	 * Stops gracefully: readiness fails, owned services are handed over, and all requests
	 * are completed. Later calls return the same future.
	 * @return a future that completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		return this.assembly.stop();
	}

	/** Stops immediately and aborts requests in flight, as in a crash. For tests. */
	@Override
	public void close() {
		this.assembly.close();
	}

}
