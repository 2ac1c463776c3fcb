package org.wigeonmast.bench.manifest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

import org.wigeonmast.cli.standin.PublishedManifest;

/**
 * Generates manifests with parts of the advised size.
 * <p>
 * Thread safety: none. Invariant: the same size and seed give the same manifest.
 */
final class ManifestGenerator {

	/** Advised greatest size of a part in bytes. */
	private static final int PART_SIZE = 32_000;

	private static final int REGIONS = 6;

	private static final int DAEMONS_PER_DOMAIN = 200;

	private static final int GREATEST_RATE = 200;

	/** Small enough for every field that is changed. */
	private static final int GREATEST_NUMBER = 100;

	private static final String[] WORDS = { "rota", "board", "swap", "print", "claim", "desk", "catalogue", "archive",
			"reservation", "shift", "kitchen", "image" };

	private final ManifestSize size;

	private final Random random;

	private final Map<String, String> parts = new LinkedHashMap<>();

	ManifestGenerator(ManifestSize size, long seed) {
		this.size = size;
		this.random = new Random(seed);
		add("domains", this.size.domains(), this::domain);
		add("services", this.size.services(), this::service);
		add("routes", this.size.routes(), this::route);
		add("callers", this.size.callers(), this::caller);
	}

	PublishedManifest publish(long version) {
		return PublishedManifest.of(version, this.parts);
	}

	/**
	 * Changes a number in the part in the middle of those with some kind of entries.
	 * @param kind the kind of entries
	 * @param field the field whose first number is changed
	 */
	void changeOnePart(String kind, String field) {
		List<String> names = this.parts.keySet().stream().filter((name) -> name.startsWith(kind)).toList();
		String name = names.get(names.size() / 2);
		int number = 1 + this.random.nextInt(GREATEST_NUMBER);
		this.parts.computeIfPresent(name,
				(key, text) -> text.replaceFirst("\"" + field + "\":\\d+", "\"" + field + "\":" + number));
	}

	private void add(String kind, int count, IntFunction<String> entries) {
		List<String> chunk = new ArrayList<>();
		int length = 0;
		for (int i = 0; i < count; i++) {
			String entry = entries.apply(i);
			if (length + entry.length() > PART_SIZE) {
				addPart(kind, chunk);
				chunk.clear();
				length = 0;
			}
			chunk.add(entry);
			length += entry.length() + 1;
		}
		addPart(kind, chunk);
	}

	private void addPart(String kind, List<String> entries) {
		this.parts.put(kind + "-" + this.parts.size(), "{\"" + kind + "\":[" + String.join(",", entries) + "]}");
	}

	private String domainName(int number) {
		int domain = number % this.size.domains();
		return "region-" + domain % REGIONS + "/domain-" + domain;
	}

	private String domain(int number) {
		return "{\"name\":\"" + domainName(number) + "\",\"daemons\":" + DAEMONS_PER_DOMAIN + "}";
	}

	private String service(int number) {
		int first = (int) ((long) this.size.servers() * number / this.size.services());
		int last = (int) ((long) this.size.servers() * (number + 1) / this.size.services());
		List<String> servers = new ArrayList<>();
		for (int i = first; i < last; i++) {
			servers.add("{\"id\":\"server-" + i + "\",\"address\":\"10." + (i >> 16) + "." + (i >> 8 & 255) + "."
					+ (i & 255) + ":8080\",\"domain\":\"" + domainName(i) + "\",\"slots\":2,\"connections\":330}");
		}
		return "{\"name\":\"" + serviceName(number) + "\",\"floor\":" + (last - first) * 3 / 4 + ",\"servers\":["
				+ String.join(",", servers) + "]}";
	}

	private String serviceName(int number) {
		return WORDS[number % WORDS.length] + "-" + WORDS[number / WORDS.length % WORDS.length] + "-" + number;
	}

	private String route(int number) {
		boolean isLong = this.random.nextInt(10) == 0;
		return "{\"method\":\"" + (this.random.nextBoolean() ? "GET" : "POST") + "\",\"path\":\"" + routePath(number)
				+ "\",\"service\":\"" + serviceName(number % this.size.services()) + "\",\"class\":\""
				+ (isLong ? "long" : "short") + "\",\"idempotent\":" + this.random.nextBoolean()
				+ ",\"timeoutMilliseconds\":" + (isLong ? 60_000 : 2_000) + "}";
	}

	String routePath(int number) {
		return "/" + serviceName(number % this.size.services()) + "/" + WORDS[number % WORDS.length] + "/v" + number;
	}

	private String caller(int number) {
		return "{\"id\":\"" + callerName(number) + "\",\"requestsPerSecond\":"
				+ (1 + this.random.nextInt(GREATEST_RATE)) + "}";
	}

	static String callerName(int number) {
		return "caller-" + Integer.toHexString(number * 0x9E3779B9) + "-" + number;
	}

}
