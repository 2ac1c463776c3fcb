package org.wigeonmast.admin;

import java.util.concurrent.CompletableFuture;

/**
 * Tells the state of the daemon.
 * <p>
 * Thread safety: implementations are usable from any thread and return at once; the
 * control thread completes the future.
 */
@FunctionalInterface
public interface StatusSource {

	/**
	 * Asks for the state.
	 * @return the state
	 */
	CompletableFuture<DaemonStatus> status();

}
