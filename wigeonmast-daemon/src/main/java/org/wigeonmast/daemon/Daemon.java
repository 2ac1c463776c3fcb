package org.wigeonmast.daemon;

import java.util.concurrent.CompletableFuture;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.internal.DaemonAssembly;
import org.wigeonmast.settings.DaemonSettings;

/**
 * A daemon of the fleet.
 * <p>
 * Thread safety: usable from any thread. Invariant: after {@link #stop()} every request
 * that was accepted is finished before the future completes.
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
	 * Starts to listen and joins the fleet.
	 * @return the addresses
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
	 * Returns whether this daemon follows an ejection of a backend server.
	 * @param server the backend server
	 * @return whether it is ejected
	 */
	public boolean isEjected(BackendServerId server) {
		return this.assembly.isEjected(server);
	}

	/**
	 * Stops gracefully: readiness fails, owned services are handed over, and all requests
	 * are finished. Later calls return the same future.
	 * @return completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		return this.assembly.stop();
	}

	/** Ends at once; requests in flight are cut. For tests of crashes. */
	@Override
	public void close() {
		this.assembly.close();
	}

}
