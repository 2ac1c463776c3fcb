package org.wigeonmast.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.wigeonmast.cli.standin.PublishedManifest;
import org.wigeonmast.cli.standin.StandInBackendServer;

/**
 * Manifests of the demo.
 * <p>
 * Thread safety: stateless.
 */
final class DemoManifest {

	/** Path of the idempotent requests of class short. */
	static final String BOARD_PATH = "/rota/board";

	/** Path of the non-idempotent requests of class short. */
	static final String CLAIMS_PATH = "/rota/claims";

	/** Path whose route is only in the second version. */
	static final String NEWS_PATH = "/news";

	/** Minimum number of servers that ejections leave in service. */
	static final int FLOOR = 2;

	private DemoManifest() {
	}

	static PublishedManifest createFirstVersion(List<StandInBackendServer> servers, int daemons) {
		return PublishedManifest.of(1, Map.of("fleet", fleetPart(servers, daemons), "routes", "{\"routes\": ["
				+ routeEntry("GET", BOARD_PATH, true) + ", " + routeEntry("POST", CLAIMS_PATH, false) + "]}"));
	}

	static PublishedManifest createSecondVersion(List<StandInBackendServer> servers, int daemons) {
		return PublishedManifest.of(2,
				Map.of("fleet", fleetPart(servers, daemons), "routes",
						"{\"routes\": [" + routeEntry("GET", BOARD_PATH, true) + ", "
								+ routeEntry("POST", CLAIMS_PATH, false) + ", " + routeEntry("GET", NEWS_PATH, true)
								+ "]}"));
	}

	private static String fleetPart(List<StandInBackendServer> servers, int daemons) {
		String entries = servers.stream()
			.map((server) -> "{\"id\": \"" + server.name() + "\", \"address\": \"" + server.address()
					+ "\", \"domain\": \"addis/a\", \"slots\": " + DemoFleet.SLOTS + ", \"connections\": 330}")
			.collect(Collectors.joining(", "));
		return "{\"domains\": [{\"name\": \"addis/a\", \"daemons\": " + daemons
				+ "}], \"services\": [{\"name\": \"rota\", \"floor\": " + FLOOR + ", \"servers\": [" + entries + "]}]}";
	}

	private static String routeEntry(String method, String path, boolean idempotent) {
		return "{\"method\": \"" + method + "\", \"path\": \"" + path
				+ "\", \"service\": \"rota\", \"class\": \"short\", \"idempotent\": " + idempotent
				+ ", \"timeoutMilliseconds\": 2000}";
	}

}
