package org.wigeonmast.manifest;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.internal.Hashes;

class JsonManifestCheckerTests {

	static final String PART = """
			{
			  "domains": [{"name": "addis/a", "daemons": 9}, {"name": "addis/b", "daemons": 0}],
			  "services": [
			    {"name": "rota-board", "floor": 1, "longShare": 0.5, "servers": [
			      {"id": "rb-1", "address": "10.0.0.1:8080", "domain": "addis/a", "slots": 2, "connections": 330},
			      {"id": "rb-2", "address": "10.0.0.2:8080", "domain": "addis/b", "slots": 2, "connections": 330}
			    ]}
			  ],
			  "routes": [
			    {"path": "/rota", "service": "rota-board", "class": "short", "idempotent": true,
			     "timeoutMilliseconds": 2000},
			    {"method": "POST", "path": "/rota/print", "service": "rota-board", "class": "long",
			     "idempotent": false, "timeoutMilliseconds": 60000}
			  ],
			  "callers": [{"id": "kitchen-7", "requestsPerSecond": 50}]
			}
			""";

	private final JsonManifestChecker checker = new JsonManifestChecker();

	static Either<List<String>, Manifest> check(JsonManifestChecker checker, String... parts) {
		Map<String, byte[]> bytes = new HashMap<>();
		List<ManifestPart> entries = new ArrayList<>();
		for (String part : parts) {
			byte[] document = part.getBytes(StandardCharsets.UTF_8);
			String hash = Hashes.sha256(document);
			bytes.put(hash, document);
			entries.add(new ManifestPart("part-" + entries.size(), hash, document.length));
		}
		return checker.check(new ManifestIndex(1, "", entries), bytes);
	}

	Either<List<String>, Manifest> check(String part) {
		byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
		String hash = Hashes.sha256(bytes);
		String index = "{\"version\": 3, \"parts\": [{\"name\": \"all\", \"sha256\": \"" + hash + "\", \"size\": "
				+ bytes.length + "}]}";
		return this.checker.readIndex(index.getBytes(StandardCharsets.UTF_8))
			.flatMap((read) -> this.checker.check(read, Map.of(hash, bytes)));
	}

	private static @Nullable String path(Manifest manifest, String method, String path) {
		Route route = manifest.route(method, path);
		return (route != null) ? route.pathPrefix() : null;
	}

	@Test
	void completeManifestIsRead() {
		Manifest manifest = check(PART).getOrElseThrow((errors) -> new AssertionError(errors.toString()));
		Truth.assertThat(manifest.version()).isEqualTo(3);
		Service service = manifest.service(new ServiceName("rota-board"));
		Truth.assertThat(service.servers()).hasSize(2);
		Truth.assertThat(service.keyLifetime()).isEqualTo(Service.DEFAULT_KEY_LIFETIME_MS);
		Truth.assertThat(manifest.daemons()).containsExactly(new FailureDomain(new Region("addis"), "a"), 9);
		Truth.assertThat(manifest.callerLimit(new CallerId("kitchen-7"))).isEqualTo(50);
		Truth.assertThat(manifest.callerLimit(new CallerId("kitchen-8"))).isEqualTo(0);
	}

	/** Guards against route prefixes that match in the middle of a path segment. */
	@Test
	void longestPrefixOfWholeSegmentsMatches() {
		Manifest manifest = check(PART).get();
		Truth.assertThat(path(manifest, "GET", "/rota/print")).isEqualTo("/rota");
		Truth.assertThat(path(manifest, "POST", "/rota/print")).isEqualTo("/rota/print");
		Truth.assertThat(path(manifest, "POST", "/rota/print/7")).isEqualTo("/rota/print");
		Truth.assertThat(path(manifest, "POST", "/rota/printer")).isEqualTo("/rota");
		Truth.assertThat(path(manifest, "GET", "/rotas")).isNull();
		Truth.assertThat(path(manifest, "GET", "/")).isNull();
	}

	/** Guards against an overflow of the index bits in the packed caller table. */
	@Test
	void manyCallersAreFound() {
		List<CallerLimit> limits = IntStream.rangeClosed(1, 140_000)
			.mapToObj((number) -> new CallerLimit(new CallerId("caller-" + number), number))
			.toList();
		Manifest manifest = new InMemoryManifest(1, "", List.of(), List.of(), limits, Map.of());
		for (int number : new int[] { 1, 65_535, 65_536, 65_537, 131_070, 131_071, 140_000 }) {
			Truth.assertThat(manifest.callerLimit(new CallerId("caller-" + number))).isEqualTo(number);
		}
		Truth.assertThat(manifest.callerLimit(new CallerId("caller-0"))).isEqualTo(0);
	}

	/**
	 * Guards against lookup tables that are reused although their entries have changed.
	 */
	@Test
	void changedPartsReplaceThePreviousOnes() {
		Truth.assertThat(check(PART).get().callerLimit(new CallerId("kitchen-7"))).isEqualTo(50);
		Manifest changed = check(PART.replace("\"requestsPerSecond\": 50", "\"requestsPerSecond\": 60")
			.replace("\"/rota/print\"", "\"/rota/paper\"")
			.replace("\"slots\": 2", "\"slots\": 3")).get();
		Truth.assertThat(changed.callerLimit(new CallerId("kitchen-7"))).isEqualTo(60);
		Truth.assertThat(path(changed, "POST", "/rota/print")).isEqualTo("/rota");
		Truth.assertThat(changed.service(new ServiceName("rota-board")).servers().getFirst().slots()).isEqualTo(3);
		Truth.assertThat(check(PART.replace("\"floor\": 1", "\"floor\": 3")).isLeft()).isTrue();
		Truth.assertThat(check(PART).get().callerLimit(new CallerId("kitchen-7"))).isEqualTo(50);
	}

	/**
	 * Guards against checks that are skipped although a part on which they depend has
	 * changed.
	 */
	@Test
	void changedPartIsCheckedAgainstUnchangedOnes() {
		String domains = "{\"domains\": [{\"name\": \"addis/a\", \"daemons\": 9}]}";
		String service = "{\"services\": [{\"name\": \"rota\", \"floor\": 0, \"servers\": [{\"id\": \"rb-1\", \"address\": "
				+ "\"10.0.0.1:80\", \"domain\": \"addis/a\", \"slots\": 2, \"connections\": 9}]}]}";
		String routes = "{\"routes\": [{\"path\": \"/rota\", \"service\": \"rota\", \"class\": \"long\", "
				+ "\"idempotent\": true, \"timeoutMilliseconds\": 1}]}";
		String[][] changes = { { domains, service, routes },
				{ domains, service.replace("\"rota\"", "\"desk\""), routes },
				{ domains.replace("addis/a", "addis/b"), service, routes }, { domains, service, routes, service },
				{ domains, service, routes, routes }, { domains, routes },
				{ domains, service.replace("\"floor\"", "\"longShare\": 0, \"floor\""), routes },
				{ service, routes, domains }, { domains, service }, { domains, service, routes, "{}" } };
		for (String[] change : changes) {
			check(this.checker, changes[0]);
			Either<List<String>, Manifest> fresh = check(new JsonManifestChecker(), change);
			Either<List<String>, Manifest> later = check(this.checker, change);
			Truth.assertThat(later.swap().getOrElse(List.of())).isEqualTo(fresh.swap().getOrElse(List.of()));
			Truth.assertThat(later.isRight() ? later.get().route("GET", "/rota") : null)
				.isEqualTo(fresh.isRight() ? fresh.get().route("GET", "/rota") : null);
		}
		Truth.assertThat(check(this.checker, changes[1]).isLeft()).isTrue();
	}

}
