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

	private static final int MAX_DAEMONS = 10_000;

	private static final int MAX_SERVERS = 100_000;

	private static final int MAX_SLOTS = 10_000;

	private static final int MAX_CONNECTIONS = 1_000_000;

	private static final long MAX_REQUESTS_PER_SECOND = 1_000_000_000;

	private static final long MIN_KEY_LIFETIME_MS = 1_000;

	private static final long MAX_KEY_LIFETIME_MS = 24 * 3_600_000;

	private static final long MAX_TIMEOUT_MS = 3_600_000;

	private static final double DEFAULT_LONG_SHARE = 0.5;

	private static final String ANY_METHOD = "*";

	private static final long MISSING = -1;

	private static final FailureDomain INVALID_DOMAIN = new FailureDomain(new Region(""), "");

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
			cursor.moveToRoot();
			if (cursor.enterObject()) {
				readPart(cursor, entries);
			}
			cursor.checkEnd();
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
				default -> cursor.skipUnknownField(field, "domains, services, routes and callers");
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
				case "daemons" -> daemons = cursor.readInteger(0, MAX_DAEMONS);
				default -> cursor.skipUnknownField(field, "name and daemons");
			}
		}
		return new ParsedPart.Domain(requireField(cursor, "name", domain, INVALID_DOMAIN),
				(int) requireField(cursor, "daemons", daemons));
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
				case "floor" -> floor = cursor.readInteger(0, MAX_SERVERS);
				case "longShare" -> longShare = cursor.readShare();
				case "requestsPerSecond" -> rate = cursor.readInteger(0, MAX_REQUESTS_PER_SECOND);
				case "keyLifetimeMilliseconds" ->
					keyLifetime = cursor.readInteger(MIN_KEY_LIFETIME_MS, MAX_KEY_LIFETIME_MS);
				case "servers" -> {
					servers = new ArrayList<>();
					readArray(cursor, servers, this::readServer);
				}
				default -> cursor.skipUnknownField(field,
						"name, floor, longShare, requestsPerSecond, keyLifetimeMilliseconds and servers");
			}
		}
		return new Service(requireField(cursor, "name", name, new ServiceName("")),
				requireField(cursor, "servers", servers, List.of()), (int) requireField(cursor, "floor", floor),
				longShare, rate, keyLifetime);
	}

	private BackendServer readServer(JsonCursor cursor) throws IOException {
		String id = null;
		HostAddress address = null;
		FailureDomain domain = null;
		long slots = MISSING;
		long connections = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "id" -> id = cursor.readText(TextFormat.NAME);
				case "address" -> address = cursor.readAddress();
				case "domain" -> domain = readDomainName(cursor);
				case "slots" -> slots = cursor.readInteger(1, MAX_SLOTS);
				case "connections" -> connections = cursor.readInteger(1, MAX_CONNECTIONS);
				default -> cursor.skipUnknownField(field, "id, address, domain, slots and connections");
			}
		}
		return new BackendServer(new BackendServerId(requireField(cursor, "id", id, "")),
				requireField(cursor, "address", address, JsonCursor.INVALID_ADDRESS),
				requireField(cursor, "domain", domain, INVALID_DOMAIN), (int) requireField(cursor, "slots", slots),
				(int) requireField(cursor, "connections", connections));
	}

	private Route readRoute(JsonCursor cursor) throws IOException {
		String method = ANY_METHOD;
		String path = null;
		ServiceName service = null;
		WorkClass workClass = null;
		Boolean idempotent = null;
		long timeout = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "method" -> method = readMethod(cursor);
				case "path" -> path = cursor.readText(TextFormat.PATH);
				case "service" -> service = readServiceName(cursor);
				case "class" -> workClass = readWorkClass(cursor);
				case "idempotent" -> idempotent = cursor.readBoolean();
				case "timeoutMilliseconds" -> timeout = cursor.readInteger(1, MAX_TIMEOUT_MS);
				default ->
					cursor.skipUnknownField(field, "method, path, service, class, idempotent and timeoutMilliseconds");
			}
		}
		return new Route(method, requireField(cursor, "path", path, ""),
				requireField(cursor, "service", service, new ServiceName("")),
				requireField(cursor, "class", workClass, WorkClass.SHORT),
				requireField(cursor, "idempotent", idempotent, false),
				requireField(cursor, "timeoutMilliseconds", timeout));
	}

	private void readCallers(JsonCursor cursor, PackedCallerLimits target) throws IOException {
		if (!cursor.enterArray()) {
			return;
		}
		while (cursor.nextElement()) {
			if (cursor.enterObject()) {
				readCaller(cursor, target);
			}
		}
	}

	private void readCaller(JsonCursor cursor, PackedCallerLimits target) throws IOException {
		String id = null;
		long rate = MISSING;
		for (String field = cursor.nextField(); field != null; field = cursor.nextField()) {
			switch (field) {
				case "id" -> id = cursor.readText(TextFormat.CALLER);
				case "requestsPerSecond" -> rate = cursor.readInteger(1, MAX_REQUESTS_PER_SECOND);
				default -> cursor.skipUnknownField(field, "id and requestsPerSecond");
			}
		}
		target.add(requireField(cursor, "id", id, ""), (int) requireField(cursor, "requestsPerSecond", rate));
	}

	private FailureDomain readDomainName(JsonCursor cursor) throws IOException {
		String text = cursor.readText(TextFormat.DOMAIN);
		return text.isEmpty() ? INVALID_DOMAIN : this.domains.computeIfAbsent(text, PartParser::parseDomain);
	}

	private static FailureDomain parseDomain(String text) {
		int slash = text.indexOf('/');
		return new FailureDomain(new Region(text.substring(0, slash)), text.substring(slash + 1));
	}

	private ServiceName readServiceName(JsonCursor cursor) throws IOException {
		return this.services.computeIfAbsent(cursor.readText(TextFormat.NAME), ServiceName::new);
	}

	private String readMethod(JsonCursor cursor) throws IOException {
		return this.methods.computeIfAbsent(cursor.readText(TextFormat.METHOD), (method) -> method);
	}

	private static WorkClass readWorkClass(JsonCursor cursor) throws IOException {
		return cursor.readText(TextFormat.WORK_CLASS).equals("long") ? WorkClass.LONG : WorkClass.SHORT;
	}

	private static <T> T requireField(JsonCursor cursor, String name, @Nullable T value, T substitute) {
		if (value == null) {
			cursor.reportError(ManifestErrorMessages.missingField(name));
			return substitute;
		}
		return value;
	}

	private static long requireField(JsonCursor cursor, String name, long value) {
		if (value == MISSING) {
			cursor.reportError(ManifestErrorMessages.missingField(name));
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

		private final PackedCallerLimits callers = new PackedCallerLimits();

	}

}
