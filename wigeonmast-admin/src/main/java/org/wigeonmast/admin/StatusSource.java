package org.wigeonmast.admin;

import java.util.concurrent.CompletableFuture;

/**
 * Source of the daemon's status.
 * <p>
 * Thread safety: implementations are usable from any thread and return at once; the
 * control thread completes the future.
 */
@FunctionalInterface
public interface StatusSource {

	/**
	 * Requests the current status.
	 * @return the status
	 */
	CompletableFuture<DaemonStatus> status();

}
