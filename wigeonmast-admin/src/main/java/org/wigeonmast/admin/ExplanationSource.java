package org.wigeonmast.admin;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Source of explanations of the state of backend servers.
 * <p>
 * Thread safety: implementations are usable from any thread and return at once; the
 * control thread completes the future.
 */
@FunctionalInterface
public interface ExplanationSource {

	/**
	 * Requests the explanations for a host or backend server.
	 * @param host the identifier of a backend server, its address with port, or the IP
	 * address of its host
	 * @return one explanation for each backend server that matches, empty if none does
	 */
	CompletableFuture<List<ServerExplanation>> explain(String host);

}
