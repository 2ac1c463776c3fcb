package org.wigeonmast.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.cli.standin.StandInBackendServer;

/**
 * The manifests of the demo.
 * <p>
 * Thread safety: stateless.
 */
final class DemoManifest {

	/** Path of idempotent short work. */
	static final String BOARD = "/rota/board";

	/** Path of non-idempotent short work. */
	static final String CLAIMS = "/rota/claims";

	/** Path that only the second version routes. */
	static final String NEWS = "/news";

	/** Number of servers that ejections must leave in service. */
	static final int FLOOR = 2;

	private DemoManifest() {
	}

	static PublishedManifest first(List<StandInBackendServer> servers, int daemons) {
		return PublishedManifest.of(1, Map.of("fleet", fleet(servers, daemons), "routes",
				"{\"routes\": [" + route("GET", BOARD, true) + ", " + route("POST", CLAIMS, false) + "]}"));
	}

	static PublishedManifest second(List<StandInBackendServer> servers, int daemons) {
		return PublishedManifest.of(2,
				Map.of("fleet", fleet(servers, daemons), "routes", "{\"routes\": [" + route("GET", BOARD, true) + ", "
						+ route("POST", CLAIMS, false) + ", " + route("GET", NEWS, true) + "]}"));
	}

	private static String fleet(List<StandInBackendServer> servers, int daemons) {
		String entries = servers.stream()
			.map((server) -> "{\"id\": \"" + server.name() + "\", \"address\": \"" + server.address()
					+ "\", \"domain\": \"addis/a\", \"slots\": " + DemoFleet.SLOTS + ", \"connections\": 330}")
			.collect(Collectors.joining(", "));
		return "{\"domains\": [{\"name\": \"addis/a\", \"daemons\": " + daemons
				+ "}], \"services\": [{\"name\": \"rota\", \"floor\": " + FLOOR + ", \"servers\": [" + entries + "]}]}";
	}

	private static String route(String method, String path, boolean idempotent) {
		return "{\"method\": \"" + method + "\", \"path\": \"" + path
				+ "\", \"service\": \"rota\", \"class\": \"short\", \"idempotent\": " + idempotent
				+ ", \"timeoutMilliseconds\": 2000}";
	}

}
