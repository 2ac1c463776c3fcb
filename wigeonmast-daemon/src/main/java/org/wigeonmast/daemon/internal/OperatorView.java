package org.wigeonmast.daemon.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.admin.AuditRecord;
import org.wigeonmast.admin.AuditTrail;
import org.wigeonmast.admin.DaemonStatus;
import org.wigeonmast.admin.ServerExplanation;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.Region;
import org.wigeonmast.health.ActiveEjection;
import org.wigeonmast.health.Explanation;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.follow.VersionStamp;
import org.wigeonmast.membership.Member;

/**
 * Read-only view of the control state for the admin interface.
 * <p>
 * Thread safety: {@link #status()} and {@link #explain(String)} can be called from any
 * thread; they read the state on the control thread.
 */
final class OperatorView {

	private static final int MAX_HISTORY_RECORDS = 12;

	private static final int MAX_EXPLANATIONS = 16;

	private final ControlLoop control;

	private final DaemonId self;

	private final Region region;

	private final String failureDomain;

	private final FleetShell fleet;

	private final HealthShell health;

	private final DispatchShell dispatch;

	private final AuditTrail audit;

	private final Supplier<String> readiness;

	private final long startedAtMs;

	private long manifestAppliedAtMs;

	OperatorView(ControlLoop control, Member self, FleetShell fleet, HealthShell health, DispatchShell dispatch,
			AuditTrail audit, Supplier<String> readiness) {
		this.control = control;
		this.self = self.id();
		this.region = self.region();
		this.failureDomain = self.failureDomain().toString();
		this.fleet = fleet;
		this.health = health;
		this.dispatch = dispatch;
		this.audit = audit;
		this.readiness = readiness;
		this.startedAtMs = control.clock().milliseconds();
		this.manifestAppliedAtMs = this.startedAtMs;
	}

	void onManifestApplied() {
		this.manifestAppliedAtMs = this.control.clock().milliseconds();
	}

	CompletableFuture<DaemonStatus> status() {
		return CompletableFuture.supplyAsync(this::collectStatus, this.control);
	}

	CompletableFuture<List<ServerExplanation>> explain(String host) {
		return CompletableFuture.supplyAsync(() -> collectExplanations(host), this.control);
	}

	private DaemonStatus collectStatus() {
		long now = this.control.clock().milliseconds();
		VersionStamp stamp = this.fleet.versionInForce();
		Manifest manifest = this.fleet.manifest();
		List<DaemonStatus.ServiceEntry> services = new ArrayList<>();
		if (manifest != null) {
			manifest.services().forEach((service) -> services.add(serviceEntry(service)));
		}
		return new DaemonStatus(this.self.name(), this.self.incarnation(), this.failureDomain, this.fleet.isReady(),
				this.readiness.get(), now - this.startedAtMs, this.dispatch.activeRequests(),
				new DaemonStatus.ManifestStatus(stamp.version(), stamp.hash(), now - this.manifestAppliedAtMs),
				alarms(), this.fleet.liveMembers().stream().map(OperatorView::memberEntry).toList(), services);
	}

	private List<String> alarms() {
		List<String> alarms = new ArrayList<>();
		if (!this.fleet.isReady()) {
			alarms.add("The daemon is not ready: " + this.readiness.get() + ".");
		}
		if (this.fleet.isCutOff()) {
			alarms.add("Neither the configuration store nor another daemon answers; the last accepted manifest stays "
					+ "in force. Check the network of this host.");
		}
		return alarms;
	}

	private static DaemonStatus.MemberEntry memberEntry(Member member) {
		return new DaemonStatus.MemberEntry(member.name(), member.id().incarnation(), member.address().toString(),
				member.failureDomain().toString(), member.phase().toString(), member.status().toString());
	}

	private DaemonStatus.ServiceEntry serviceEntry(Service service) {
		List<String> outOfService = this.health.states(service.name())
			.stream()
			.filter((server) -> isOutOfService(server.state()))
			.map((server) -> server.server().value())
			.toList();
		return new DaemonStatus.ServiceEntry(service.name().value(), ownerName(service),
				this.dispatch.mode(service.name()).toString(), service.servers().size(),
				service.servers().size() - outOfService.size(), service.floor(), outOfService);
	}

	private static boolean isOutOfService(ServerHealth.State state) {
		return switch (state) {
			case EJECTED, TRIAL, LEAVING, DEAD -> true;
			case SERVING, AVOIDED, RAMPING -> false;
		};
	}

	private String ownerName(Service service) {
		Member owner = this.fleet.ownership().owner(service.name(), this.region);
		return (owner != null) ? owner.name() : "";
	}

	private List<ServerExplanation> collectExplanations(String host) {
		Manifest manifest = this.fleet.manifest();
		List<ServerExplanation> explanations = new ArrayList<>();
		if (manifest == null) {
			return explanations;
		}
		for (Service service : manifest.services()) {
			for (BackendServer server : service.servers()) {
				if (matches(server, host) && explanations.size() < MAX_EXPLANATIONS) {
					explanations.add(explain(service, server));
				}
			}
		}
		return explanations;
	}

	private static boolean matches(BackendServer server, String host) {
		return server.id().value().equals(host) || server.address().toString().equals(host)
				|| server.address().address().equals(host);
	}

	private ServerExplanation explain(Service service, BackendServer server) {
		ServerHealth current = this.health.states(service.name())
			.stream()
			.filter((health) -> health.server().equals(server.id()))
			.findFirst()
			.orElse(new ServerHealth(server.id(), ServerHealth.State.SERVING, 1));
		Map<String, String> evidence = new LinkedHashMap<>();
		ActiveEjection ejection = findEjection(service, server);
		if (ejection != null) {
			evidence.put("ejected by", ejection.owner().name());
			evidence.put("permit", Integer.toString(ejection.permit()));
			evidence.put("lease ends in",
					ejection.expiresAt() - this.control.clock().milliseconds() + " ms unless it is renewed");
			evidence.put("reason", ejection.evidence());
		}
		Explanation judgement = this.health.explain(service.name(), server.id());
		if (judgement != null) {
			evidence.putAll(judgement.facts());
		}
		return new ServerExplanation(this.self.name(), server.id().value(), server.address().toString(),
				service.name().value(), ownerName(service), current.state().toString(), current.weight(),
				summary(server, current, ejection), evidence, history(server));
	}

	private @Nullable ActiveEjection findEjection(Service service, BackendServer server) {
		return this.health.view()
			.activeEjections(this.control.clock().milliseconds(), service.name())
			.stream()
			.filter((ejection) -> ejection.server().equals(server.id()))
			.findFirst()
			.orElse(null);
	}

	private String summary(BackendServer server, ServerHealth current, @Nullable ActiveEjection ejection) {
		String id = server.id().value();
		return switch (current.state()) {
			case EJECTED -> id + " gets no work: " + ((ejection != null) ? ejection.evidence() : "ejected") + ".";
			case TRIAL -> id + " was ejected and gets a few idempotent requests on trial.";
			case AVOIDED -> id + " is the last choice of this daemon.";
			case LEAVING -> id + " is leaving and gets no new work.";
			case DEAD -> id + " does not run.";
			case RAMPING -> id + " is in service with a rising share of its slots.";
			case SERVING -> id + " is in service.";
		};
	}

	private List<AuditRecord> history(BackendServer server) {
		List<AuditRecord> records = this.audit.recordsSince(0, Integer.MAX_VALUE)
			.stream()
			.filter((record) -> record.entry().subject().equals(server.id().value()))
			.toList();
		return records.subList(Math.max(0, records.size() - MAX_HISTORY_RECORDS), records.size());
	}

}
