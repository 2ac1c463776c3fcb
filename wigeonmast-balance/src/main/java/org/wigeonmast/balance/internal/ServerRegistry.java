package org.wigeonmast.balance.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

import org.wigeonmast.balance.BalanceEffect;
import org.wigeonmast.balance.BalanceEvent;
import org.wigeonmast.balance.BalanceSettings;
import org.wigeonmast.balance.ServerRecord;
import org.wigeonmast.balance.peer.ServerObservation;
import org.wigeonmast.balance.peer.ServiceLoad;
import org.wigeonmast.balance.peer.SuspicionReport;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.ServiceName;

/**
 * The registry of the backend servers of all services and of the evidence about them.
 * <p>
 * Thread safety: none. Invariant: a server that restarted begins without evidence.
 */
public final class ServerRegistry {

	/** Maximum number of services in a load report, which names the busiest ones. */
	private static final int MAX_REPORTED_LOADS = 16;

	/** Minimum rate of a service in a load report, in requests per second. */
	private static final double MIN_REPORTED_REQUESTS_PER_SECOND = 0.05;

	private static final double MS_PER_SECOND = 1000;

	/** Minimum failure probability of a server in a suspicion report. */
	private static final double MIN_REPORTED_PROBABILITY = 0.35;

	private static final double PERCENT = 100;

	private final Map<ServiceName, ServiceState> services = new HashMap<>();

	private final Map<BackendServerId, ServerState> servers = new HashMap<>();

	private final BalanceSettings settings;

	private final Consumer<BalanceEffect> effects;

	private final FleetLoad fleetLoad = new FleetLoad();

	private int daemons = 1;

	/**
	 * Creates a registry without servers.
	 * @param settings the settings
	 * @param effects receives the observations to report and the events to log
	 */
	public ServerRegistry(BalanceSettings settings, Consumer<BalanceEffect> effects) {
		this.settings = settings;
		this.effects = effects;
	}

	/**
	 * Returns the state of a service, which is created if the service is unknown.
	 * @param name the service
	 * @return the state
	 */
	public ServiceState service(ServiceName name) {
		return this.services.computeIfAbsent(name, (key) -> new ServiceState(this.settings, this.daemons));
	}

	/**
	 * Returns the load that peers have reported.
	 * @return the load
	 */
	public FleetLoad fleetLoad() {
		return this.fleetLoad;
	}

	/**
	 * Returns the load of this daemon, to be reported to peers.
	 * @param now the current monotonic time in milliseconds
	 * @return the request rates of the busiest services, highest first
	 */
	public List<ServiceLoad> loads(long now) {
		return this.services.entrySet()
			.stream()
			.map((entry) -> new ServiceLoad(entry.getKey(), entry.getValue().requestsPerMs(now) * MS_PER_SECOND))
			.filter((load) -> load.perSecond() >= MIN_REPORTED_REQUESTS_PER_SECOND)
			.sorted(Comparator.comparingDouble(ServiceLoad::perSecond).reversed())
			.limit(MAX_REPORTED_LOADS)
			.toList();
	}

	/**
	 * Estimates how many slots of a service the requests of the whole fleet occupy.
	 * @param now the current monotonic time in milliseconds
	 * @param name the service
	 * @return the number of slots
	 */
	public double busySlots(long now, ServiceName name) {
		ServiceState service = service(name);
		return fleetRequestsPerSecond(now, name) / MS_PER_SECOND * service.averageDurationMs();
	}

	/**
	 * Returns the share of a service's requests that are to be spread evenly over its
	 * servers, so that each server receives some of them although others are preferred.
	 * @param now the current monotonic time in milliseconds
	 * @param name the service
	 * @return the share; 0 while few requests fail
	 */
	public double spreadShare(long now, ServiceName name) {
		ServiceState service = service(name);
		return FailureSpread.share(service.recentFailures().count(now), fleetRequestsPerSecond(now, name),
				service.servers().size());
	}

	private double fleetRequestsPerSecond(long now, ServiceName name) {
		double ownRate = service(name).requestsPerMs(now) * MS_PER_SECOND;
		return this.fleetLoad.averageRate(now, name, ownRate) * this.daemons;
	}

	/**
	 * Returns the number of live daemons.
	 * @return the number, at least 1
	 */
	public int daemons() {
		return this.daemons;
	}

	/**
	 * Sets the number of live daemons.
	 * @param daemons the number; less than 1 counts as 1
	 */
	public void setDaemons(int daemons) {
		this.daemons = Math.max(1, daemons);
		this.services.values().forEach((service) -> service.retryBudget().setDaemons(this.daemons));
	}

	/**
	 * Adds a server or updates its record; a restarted server replaces its previous
	 * start.
	 * @param now the current monotonic time in milliseconds
	 * @param server the record
	 */
	public void putServer(long now, ServerRecord server) {
		ServerState existing = this.servers.get(server.id());
		if (existing != null && existing.record().isSameStart(server)) {
			if (server.leaving() && !existing.record().leaving()) {
				log(BalanceEvent.SERVER_LEAVING, server.id(), server.service());
			}
			existing.updateRecord(now, server);
			return;
		}
		if (existing != null) {
			removeServer(server.id());
		}
		ServerState added = new ServerState(now, server);
		this.servers.put(server.id(), added);
		service(server.service()).putServer(added);
		log(BalanceEvent.SERVER_ADDED, server.id(), server.service(), server.address(), server.failureDomain(),
				server.startedAt(), server.warmup());
	}

	/**
	 * Removes a server; unknown ones are ignored.
	 * @param id the server
	 */
	public void removeServer(BackendServerId id) {
		ServerState server = this.servers.remove(id);
		if (server != null) {
			service(server.record().service()).removeServer(id);
			log(BalanceEvent.SERVER_GONE, id, server.record().service());
		}
	}

	/**
	 * Records an observation of this daemon and reports it to peers.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 * @param kind the kind of observation
	 */
	public void recordObservation(long now, ServerState server, ServerObservation.Kind kind) {
		observe(now, server, kind);
		if (server.tryBeginReport(now, kind)) {
			this.effects.accept(new BalanceEffect.ReportObservation(new ServerObservation(server.record().id(), kind),
					server.record().failureDomain()));
		}
		logSuspicionChange(now, server, kind, "observed");
	}

	private void observe(long now, ServerState server, ServerObservation.Kind kind) {
		server.observe(now, kind);
		if (kind == ServerObservation.Kind.FAILED) {
			service(server.record().service()).recentFailures().record(now);
		}
	}

	/**
	 * Records a successful answer, which is reported to peers only if the server is
	 * avoided.
	 * @param now the current monotonic time in milliseconds
	 * @param server the server
	 */
	public void recordSuccess(long now, ServerState server) {
		if (server.suspicion().isAvoided(now)) {
			recordObservation(now, server, ServerObservation.Kind.SERVED);
		}
		else {
			server.observe(now, ServerObservation.Kind.SERVED);
		}
	}

	/**
	 * Records an observation that a peer reported; unknown servers are ignored.
	 * @param now the current monotonic time in milliseconds
	 * @param observation the observation
	 */
	public void recordPeerObservation(long now, ServerObservation observation) {
		ServerState server = this.servers.get(observation.server());
		if (server != null) {
			observe(now, server, observation.kind());
			logSuspicionChange(now, server, observation.kind(), "reported by a peer");
		}
	}

	/**
	 * Applies a suspicion that a peer reported, if its evidence is more recent.
	 * @param now the current monotonic time in milliseconds
	 * @param report the report
	 */
	public void recordPeerSuspicion(long now, SuspicionReport report) {
		ServerState server = this.servers.get(report.server());
		if (server != null && server.suspicion().adopt(now, report.percent() / PERCENT, report.age())) {
			logSuspicionChange(now, server, ServerObservation.Kind.FAILED, "suspected by a peer");
		}
	}

	/**
	 * Returns the suspected servers, to be reported to peers.
	 * @param now the current monotonic time in milliseconds
	 * @return a report for each suspected server that has evidence
	 */
	public List<SuspicionReport> suspicionReports(long now) {
		return this.servers.values()
			.stream()
			.filter((server) -> server.suspicion().probability(now) >= MIN_REPORTED_PROBABILITY
					&& server.suspicion().evidenceAge(now) >= 0)
			.map((server) -> new SuspicionReport(server.record().id(),
					(int) Math.round(server.suspicion().probability(now) * PERCENT),
					server.suspicion().evidenceAge(now)))
			.toList();
	}

	/**
	 * Formats a probability for a log line.
	 * @param probability the probability
	 * @return the probability in whole percent, with a percent sign
	 */
	public static String formatPercent(double probability) {
		return Math.round(probability * PERCENT) + "%";
	}

	private void logSuspicionChange(long now, ServerState server, ServerObservation.Kind kind, String source) {
		if (!server.updateSuspected(now)) {
			return;
		}
		ServerRecord record = server.record();
		String cause = kind.name().toLowerCase(Locale.ROOT);
		String probability = formatPercent(server.suspicion().probability(now));
		if (server.suspicion().isSuspected(now)) {
			log(BalanceEvent.SUSPECTED, record.id(), record.service(), cause, source, probability);
		}
		else {
			log(BalanceEvent.TRUSTED, record.id(), record.service(), cause, probability);
		}
	}

	private void log(BalanceEvent event, Object... parameters) {
		this.effects.accept(new BalanceEffect.Logged(event, "", List.of(parameters)));
	}

}
