package org.wigeonmast.manifest.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * The last stage of reading a manifest, which checks the entries of all parts for
 * consistency and builds the lookup tables.
 * <p>
 * Thread safety: none; an instance assembles one manifest. Invariant: the table of a kind
 * of entries is reused from the previous manifest, and its checks are skipped, only if
 * everything that they depend on is unchanged.
 */
final class ManifestAssembler {

	private static final Predicate<ParsedPart> WITH_DOMAINS = (part) -> !part.domains().isEmpty();

	private static final Predicate<ParsedPart> WITH_SERVICES = (part) -> !part.services().isEmpty();

	private static final Predicate<ParsedPart> WITH_ROUTES = (part) -> !part.routes().isEmpty();

	private static final Predicate<ParsedPart> WITH_CALLERS = (part) -> part.callers().count() > 0;

	private final List<ParsedPart> parts;

	private final @Nullable CheckedManifest previous;

	private final ErrorList errors;

	private final Map<FailureDomain, Integer> domains = new LinkedHashMap<>();

	private Map<ServiceName, Service> services = new LinkedHashMap<>();

	ManifestAssembler(List<ParsedPart> parts, @Nullable CheckedManifest previous, ErrorList errors) {
		this.parts = parts;
		this.previous = previous;
		this.errors = errors;
	}

	/**
	 * Checks the entries and builds the content, which is valid only if no error was
	 * found.
	 * @return the content
	 */
	ManifestContent assemble() {
		assembleDomains();
		CheckedManifest reusable = reusableManifest(WITH_DOMAINS);
		if (reusable != null && reusable == reusableManifest(WITH_SERVICES)) {
			this.services = reusable.content().services();
		}
		else {
			assembleServices();
			reusable = null;
		}
		RouteTable routes = assembleRoutes(reusable != null);
		CallerTable callers = assembleCallers();
		if (this.services.isEmpty()) {
			this.errors.add(ManifestErrorMessages.NO_SERVICES);
		}
		this.domains.values().removeIf((daemons) -> daemons == 0);
		if (this.domains.isEmpty()) {
			this.errors.add(ManifestErrorMessages.NO_DAEMONS);
		}
		return new ManifestContent(this.domains, this.services, routes, callers);
	}

	private @Nullable CheckedManifest reusableManifest(Predicate<ParsedPart> kind) {
		return (this.previous != null && this.previous.hasSameParts(this.parts, kind)) ? this.previous : null;
	}

	private void assembleDomains() {
		Map<FailureDomain, String> partNames = new HashMap<>();
		for (ParsedPart part : this.parts) {
			for (ParsedPart.Domain entry : part.domains()) {
				if (!entry.domain().name().isEmpty()) {
					checkUnique("failure domain", partNames, entry.domain(), part);
				}
				this.domains.put(entry.domain(), entry.daemons());
			}
		}
	}

	private void assembleServices() {
		Map<ServiceName, String> partNames = new HashMap<>();
		int servers = this.parts.stream()
			.flatMap((part) -> part.services().stream())
			.mapToInt((service) -> service.servers().size())
			.sum();
		Map<BackendServerId, String> partNamesById = HashMap.newHashMap(servers);
		Map<HostAddress, String> partNamesByAddress = HashMap.newHashMap(servers);
		for (ParsedPart part : this.parts) {
			for (Service service : part.services()) {
				if (!service.name().value().isEmpty()) {
					checkUnique("service", partNames, service.name(), part);
				}
				this.services.put(service.name(), service);
				checkServerCount(part, service);
				for (BackendServer server : service.servers()) {
					if (!server.id().value().isEmpty()) {
						checkUnique("backend server", partNamesById, server.id(), part);
					}
					if (server.address().port() != 0) {
						checkUnique("address", partNamesByAddress, server.address(), part);
					}
					checkServer(part, server);
				}
			}
		}
	}

	private void checkServerCount(ParsedPart part, Service service) {
		String name = service.name().value();
		int count = service.servers().size();
		if (count == 0) {
			this.errors.add(() -> ManifestErrorMessages.noServers(part.name(), name));
		}
		else if (service.floor() > count) {
			this.errors
				.add(() -> ManifestErrorMessages.floorAboveServerCount(part.name(), name, service.floor(), count));
		}
	}

	private void checkServer(ParsedPart part, BackendServer server) {
		String id = server.id().value();
		if (server.connections() < server.slots()) {
			this.errors.add(() -> ManifestErrorMessages.tooFewConnections(part.name(), id, server.connections(),
					server.slots()));
		}
		if (!server.failureDomain().name().isEmpty() && !this.domains.containsKey(server.failureDomain())) {
			this.errors
				.add(() -> ManifestErrorMessages.unknownDomain(part.name(), id, server.failureDomain().toString()));
		}
	}

	private RouteTable assembleRoutes(boolean servicesUnchanged) {
		CheckedManifest reusable = reusableManifest(WITH_ROUTES);
		if (!servicesUnchanged || reusable == null) {
			this.parts.forEach((part) -> part.routes().forEach((route) -> checkRoute(part, route)));
		}
		if (reusable != null) {
			return reusable.content().routes();
		}
		RouteTable table = new RouteTable(this.parts.stream().mapToInt((part) -> part.routes().size()).sum());
		for (ParsedPart part : this.parts) {
			for (Route route : part.routes()) {
				Route found = route.pathPrefix().isEmpty() ? null : table.insert(route);
				if (found != null) {
					this.errors.add(() -> ManifestErrorMessages.duplicate("route",
							route.method() + " " + route.pathPrefix(), partNameOf(found), part.name()));
				}
			}
		}
		return table;
	}

	private void checkRoute(ParsedPart part, Route route) {
		String name = route.service().value();
		Service service = this.services.get(route.service());
		if (service == null && !name.isEmpty()) {
			this.errors
				.add(() -> ManifestErrorMessages.unknownService(part.name(), route.method(), route.pathPrefix(), name));
		}
		if (service != null && service.longShare() == 0 && route.workClass() == WorkClass.LONG) {
			this.errors
				.add(() -> ManifestErrorMessages.noLongShare(part.name(), route.method(), route.pathPrefix(), name));
		}
	}

	private String partNameOf(Route route) {
		for (ParsedPart part : this.parts) {
			if (part.routes().stream().anyMatch((other) -> other == route)) {
				return part.name();
			}
		}
		return "";
	}

	private CallerTable assembleCallers() {
		CheckedManifest reusable = reusableManifest(WITH_CALLERS);
		if (reusable != null) {
			return reusable.content().callers();
		}
		List<ParsedPart> withCallers = this.parts.stream().filter(WITH_CALLERS).toList();
		CallerTable table = new CallerTable(withCallers.stream().map(ParsedPart::callers).toList());
		for (int i = 0; i < withCallers.size(); i++) {
			ParsedPart part = withCallers.get(i);
			for (int j = 0; j < part.callers().count(); j++) {
				int first = table.insert(i, j);
				String identifier = (first >= 0) ? part.callers().identifier(j) : "";
				if (!identifier.isEmpty()) {
					this.errors.add(ManifestErrorMessages.duplicate("caller", identifier, withCallers.get(first).name(),
							part.name()));
				}
			}
		}
		return table;
	}

	private <K> void checkUnique(String kind, Map<K, String> partNames, K key, ParsedPart part) {
		String other = partNames.putIfAbsent(key, part.name());
		if (other != null) {
			this.errors.add(() -> ManifestErrorMessages.duplicate(kind, key.toString(), other, part.name()));
		}
	}

}
