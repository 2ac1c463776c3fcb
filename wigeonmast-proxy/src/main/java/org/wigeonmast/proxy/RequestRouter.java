package org.wigeonmast.proxy;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Route;

/**
 * Router that finds the route of a request by its host, method and path.
 * <p>
 * Thread safety: implementations are usable from any thread.
 */
@FunctionalInterface
public interface RequestRouter {

	/**
	 * Finds the route of a request.
	 * @param host the value of the Host field
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return the result
	 */
	Result route(String host, String method, String path);

	/**
	 * Returns a router by the manifest in force.
	 * @param manifests supplies the manifest in force, or {@code null}
	 * @return the router
	 */
	static RequestRouter byManifest(Supplier<@Nullable Manifest> manifests) {
		return (host, method, path) -> {
			Manifest manifest = manifests.get();
			if (manifest == null) {
				return new Result.Unconfigured("No manifest is in force yet");
			}
			Route route = manifest.route(method, path);
			return (route != null) ? new Result.Found(route) : new Result.Unknown();
		};
	}

	/** Result of routing. */
	sealed interface Result {

		/**
		 * The route of the request.
		 *
		 * @param route the route
		 */
		record Found(Route route) implements Result {
		}

		/** No route matches. */
		record Unknown() implements Result {
		}

		/**
		 * No routes are configured yet.
		 *
		 * @param reason the reason that the caller receives
		 */
		record Unconfigured(String reason) implements Result {
		}

	}

}
