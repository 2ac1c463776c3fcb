package org.wigeonmast.manifest.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.CallerLimit;
import org.wigeonmast.manifest.InMemoryManifest;
import org.wigeonmast.manifest.ManifestIndex;
import org.wigeonmast.manifest.Route;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;

/**
 * Checks the entries of all parts against each other and builds the manifest.
 * <p>
 * Thread safety: none; used for one manifest.
 */
final class ManifestAssembler {

	private final List<ParsedPart> parts;

	private final ErrorList errors;

	private final Map<Object, String> firstPart = new HashMap<>();

	private final Map<FailureDomain, Integer> domains = new LinkedHashMap<>();

	private final Map<ServiceName, Service> services = new LinkedHashMap<>();

	ManifestAssembler(List<ParsedPart> parts, ErrorList errors) {
		this.parts = parts;
		this.errors = errors;
	}

	/**
	 * Adds the errors of the whole to the error list.
	 */
	void check() {
		for (ParsedPart part : this.parts) {
			part.domains().forEach((domain) -> checkDomain(part, domain));
		}
		for (ParsedPart part : this.parts) {
			part.services().forEach((service) -> checkService(part, service));
			part.callers().forEach((caller) -> unique("caller", caller.caller().value(), caller.caller(), part));
		}
		for (ParsedPart part : this.parts) {
			part.routes().forEach((route) -> checkRoute(part, route));
		}
		if (this.domains.values().stream().noneMatch((daemons) -> daemons > 0)) {
			this.errors.add(ManifestTexts.NO_DAEMONS);
		}
		if (this.services.isEmpty()) {
			this.errors.add(ManifestTexts.NO_SERVICES);
		}
	}

	/**
	 * Builds the manifest after a check without errors.
	 * @param index the index
	 * @return the manifest
	 */
	InMemoryManifest build(ManifestIndex index) {
		List<Route> routes = new ArrayList<>();
		List<CallerLimit> callers = new ArrayList<>();
		for (ParsedPart part : this.parts) {
			routes.addAll(part.routes());
			callers.addAll(part.callers());
		}
		this.domains.values().removeIf((daemons) -> daemons == 0);
		return new InMemoryManifest(index.version(), index.hash(), this.services.values(), routes, callers,
				this.domains);
	}

	private void checkDomain(ParsedPart part, ParsedPart.Domain domain) {
		unique("failure domain", domain.domain().toString(), domain.domain(), part);
		this.domains.put(domain.domain(), domain.daemons());
	}

	private void checkService(ParsedPart part, Service service) {
		String name = service.name().value();
		unique("service", name, service.name(), part);
		this.services.put(service.name(), service);
		if (service.servers().isEmpty()) {
			this.errors.add(ManifestTexts.noServers(part.name(), name));
		}
		else if (service.floor() > service.servers().size()) {
			this.errors
				.add(ManifestTexts.floorAboveCapacity(part.name(), name, service.floor(), service.servers().size()));
		}
		service.servers().forEach((server) -> checkServer(part, server));
	}

	private void checkServer(ParsedPart part, BackendServer server) {
		String id = server.id().value();
		unique("backend server", id, server.id(), part);
		unique("address", server.address().toString(), server.address(), part);
		if (server.connections() < server.slots()) {
			this.errors.add(ManifestTexts.fewConnections(part.name(), id, server.connections(), server.slots()));
		}
		if (!server.failureDomain().name().isEmpty() && !this.domains.containsKey(server.failureDomain())) {
			this.errors.add(ManifestTexts.unknownDomain(part.name(), id, server.failureDomain().toString()));
		}
	}

	private void checkRoute(ParsedPart part, Route route) {
		String path = route.pathPrefix();
		if (!path.isEmpty()) {
			String key = route.method() + " " + path;
			unique("route", key, key, part);
		}
		Service service = this.services.get(route.service());
		if (service != null && service.longShare() == 0 && route.workClass() == WorkClass.LONG) {
			this.errors.add(ManifestTexts.noLongShare(part.name(), route.method(), path, route.service().value()));
		}
		if (service == null && !route.service().value().isEmpty()) {
			this.errors.add(ManifestTexts.unknownService(part.name(), route.method(), path, route.service().value()));
		}
	}

	private void unique(String kind, String name, Object key, ParsedPart part) {
		// An entry whose name was wrong has an empty one.
		if (name.isEmpty() || name.equals("/") || name.equals(":0")) {
			return;
		}
		String first = this.firstPart.putIfAbsent(key, part.name());
		if (first != null) {
			this.errors.add(ManifestTexts.duplicate(kind, name, first, part.name()));
		}
	}

}
