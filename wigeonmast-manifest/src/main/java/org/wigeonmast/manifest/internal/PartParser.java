package org.wigeonmast.manifest.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * A parser for the parts of a manifest.
 * <p>
 * Thread safety: none. Invariant: equal failure domains, service names and methods in all
 * parts that one parser reads are shared objects.
 */
final class PartParser {

	private static final int GREATEST_DAEMONS = 10_000;

	private static final int GREATEST_SERVERS = 100_000;

	private static final int GREATEST_SLOTS = 10_000;

	private static final int GREATEST_CONNECTIONS = 1_000_000;

	private static final long GREATEST_RATE = 1_000_000_000;

	private static final long LEAST_KEY_LIFETIME = 1_000;

	private static final long GREATEST_KEY_LIFETIME = 24 * 3_600_000;

	private static final long GREATEST_TIMEOUT = 3_600_000;

	private static final double DEFAULT_LONG_SHARE = 0.5;

	private static final String EVERY_METHOD = "*";

	private static final long MISSING = -1;

	private static final FailureDomain NO_DOMAIN = new FailureDomain(new Region(""), "");

	private final ErrorList errors;

	private final Map<String, FailureDomain> domains = new HashMap<>();

	private final Map<String, ServiceName> services = new HashMap<>();

	private final Map<String, String> methods = new HashMap<>();

	PartParser(ErrorList errors) {
		this.errors = errors;
	}

	ParsedPart parse(String name, byte[] bytes) {
		Entries entries = new Entries();
		try (JsonCursor cursor = new JsonCursor(name, bytes, this.errors)) {
			cursor.start();
			if (cursor.enterObject()) {
				readPart(cursor, entries);
			}
			cursor.end();
		}
		catch (JsonProcessingException exception) {
			this.errors.add(ManifestErrorMessages.syntaxError(name, exception));
		}
		catch (IOException exception) {
			this.errors.add(ManifestErrorMessages.inDocument(name, "", String.valueOf(exception.getMessage())));
		}
		entries.callers.trim();
		return new ParsedPart(name, entries.domains, entries.services, entries.routes, entries.callers);
	}

	private void readPart(JsonCursor cursor, Entries entries) throws IOException {
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "domains" -> readArray(cursor, entries.domains, this::readDomain);
				case "services" -> readArray(cursor, entries.services, this::readService);
				case "routes" -> readArray(cursor, entries.routes, this::readRoute);
				case "callers" -> readCallers(cursor, entries.callers);
				default -> cursor.unknownField(field, "domains, services, routes and callers");
			}
		}
	}

	private static <T> void readArray(JsonCursor cursor, List<T> target, EntryReader<T> reader) throws IOException {
		if (!cursor.enterArray()) {
			return;
		}
		while (cursor.nextElement()) {
			if (cursor.enterObject()) {
				target.add(reader.read(cursor));
			}
		}
	}

	private ParsedPart.Domain readDomain(JsonCursor cursor) throws IOException {
		FailureDomain domain = null;
		long daemons = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "name" -> domain = readDomainName(cursor);
				case "daemons" -> daemons = cursor.integer(0, GREATEST_DAEMONS);
				default -> cursor.unknownField(field, "name and daemons");
			}
		}
		return new ParsedPart.Domain(required(cursor, "name", domain, NO_DOMAIN),
				(int) required(cursor, "daemons", daemons));
	}

	private Service readService(JsonCursor cursor) throws IOException {
		ServiceName name = null;
		long floor = MISSING;
		double longShare = DEFAULT_LONG_SHARE;
		long rate = 0;
		long keyLifetime = Service.DEFAULT_KEY_LIFETIME_MS;
		List<BackendServer> servers = null;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "name" -> name = readServiceName(cursor);
				case "floor" -> floor = cursor.integer(0, GREATEST_SERVERS);
				case "longShare" -> longShare = cursor.share();
				case "requestsPerSecond" -> rate = cursor.integer(0, GREATEST_RATE);
				case "keyLifetimeMilliseconds" ->
					keyLifetime = cursor.integer(LEAST_KEY_LIFETIME, GREATEST_KEY_LIFETIME);
				case "servers" -> {
					servers = new ArrayList<>();
					readArray(cursor, servers, this::readServer);
				}
				default -> cursor.unknownField(field,
						"name, floor, longShare, requestsPerSecond, keyLifetimeMilliseconds and servers");
			}
		}
		return new Service(required(cursor, "name", name, new ServiceName("")),
				required(cursor, "servers", servers, List.of()), (int) required(cursor, "floor", floor), longShare,
				rate, keyLifetime);
	}

	private BackendServer readServer(JsonCursor cursor) throws IOException {
		String id = null;
		HostAddress address = null;
		FailureDomain domain = null;
		long slots = MISSING;
		long connections = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "id" -> id = cursor.text(TextFormat.NAME);
				case "address" -> address = cursor.address();
				case "domain" -> domain = readDomainName(cursor);
				case "slots" -> slots = cursor.integer(1, GREATEST_SLOTS);
				case "connections" -> connections = cursor.integer(1, GREATEST_CONNECTIONS);
				default -> cursor.unknownField(field, "id, address, domain, slots and connections");
			}
		}
		return new BackendServer(new BackendServerId(required(cursor, "id", id, "")),
				required(cursor, "address", address, JsonCursor.NO_ADDRESS),
				required(cursor, "domain", domain, NO_DOMAIN), (int) required(cursor, "slots", slots),
				(int) required(cursor, "connections", connections));
	}

	private Route readRoute(JsonCursor cursor) throws IOException {
		String method = EVERY_METHOD;
		String path = null;
		ServiceName service = null;
		WorkClass workClass = null;
		Boolean idempotent = null;
		long timeout = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "method" -> method = readMethod(cursor);
				case "path" -> path = cursor.text(TextFormat.PATH);
				case "service" -> service = readServiceName(cursor);
				case "class" -> workClass = readClass(cursor);
				case "idempotent" -> idempotent = cursor.bool();
				case "timeoutMilliseconds" -> timeout = cursor.integer(1, GREATEST_TIMEOUT);
				default ->
					cursor.unknownField(field, "method, path, service, class, idempotent and timeoutMilliseconds");
			}
		}
		return new Route(method, required(cursor, "path", path, ""),
				required(cursor, "service", service, new ServiceName("")),
				required(cursor, "class", workClass, WorkClass.SHORT),
				required(cursor, "idempotent", idempotent, false), required(cursor, "timeoutMilliseconds", timeout));
	}

	private void readCallers(JsonCursor cursor, CallerLimits target) throws IOException {
		if (!cursor.enterArray()) {
			return;
		}
		while (cursor.nextElement()) {
			if (cursor.enterObject()) {
				readCaller(cursor, target);
			}
		}
	}

	private void readCaller(JsonCursor cursor, CallerLimits target) throws IOException {
		String id = null;
		long rate = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "id" -> id = cursor.text(TextFormat.CALLER);
				case "requestsPerSecond" -> rate = cursor.integer(1, GREATEST_RATE);
				default -> cursor.unknownField(field, "id and requestsPerSecond");
			}
		}
		target.add(required(cursor, "id", id, ""), (int) required(cursor, "requestsPerSecond", rate));
	}

	private FailureDomain readDomainName(JsonCursor cursor) throws IOException {
		String text = cursor.text(TextFormat.DOMAIN);
		return text.isEmpty() ? NO_DOMAIN : this.domains.computeIfAbsent(text, PartParser::domain);
	}

	private static FailureDomain domain(String text) {
		int slash = text.indexOf('/');
		return new FailureDomain(new Region(text.substring(0, slash)), text.substring(slash + 1));
	}

	private ServiceName readServiceName(JsonCursor cursor) throws IOException {
		return this.services.computeIfAbsent(cursor.text(TextFormat.NAME), ServiceName::new);
	}

	private String readMethod(JsonCursor cursor) throws IOException {
		return this.methods.computeIfAbsent(cursor.text(TextFormat.METHOD), (method) -> method);
	}

	private static WorkClass readClass(JsonCursor cursor) throws IOException {
		return cursor.text(TextFormat.WORK_CLASS).equals("long") ? WorkClass.LONG : WorkClass.SHORT;
	}

	private static <T> T required(JsonCursor cursor, String name, @Nullable T value, T substitute) {
		if (value == null) {
			cursor.error(ManifestErrorMessages.missingField(name));
			return substitute;
		}
		return value;
	}

	private static long required(JsonCursor cursor, String name, long value) {
		if (value == MISSING) {
			cursor.error(ManifestErrorMessages.missingField(name));
			return 0;
		}
		return value;
	}

	/**
	 * A function that reads one element of an array.
	 *
	 * @param <T> the type of the element
	 */
	@FunctionalInterface
	private interface EntryReader<T> {

		T read(JsonCursor cursor) throws IOException;

	}

	private static final class Entries {

		private final List<ParsedPart.Domain> domains = new ArrayList<>();

		private final List<Service> services = new ArrayList<>();

		private final List<Route> routes = new ArrayList<>();

		private final CallerLimits callers = new CallerLimits();

	}

}
