package org.wigeonmast.bench.detection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.AuditKind;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.health.ActiveEjections;
import org.wigeonmast.health.HealthEffect;
import org.wigeonmast.health.HealthEvent;
import org.wigeonmast.health.HealthInput;
import org.wigeonmast.health.HealthMessage;
import org.wigeonmast.health.HealthMonitor;
import org.wigeonmast.health.Observation;
import org.wigeonmast.health.PathMonitor;
import org.wigeonmast.health.PromiseManager;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.health.ServicePlan;
import org.wigeonmast.testing.EventQueue;

/**
 * The components of this project: one owner that judges, and in each daemon a keeper of
 * promises, a view of the ejections and a monitor of paths.
 * <p>
 * Thread safety: none. Messages take 1 ms.
 */
final class MonitorPolicy implements Policy {

	private static final Region REGION = new Region("region");

	private static final double SPARE_SHARE = 0.25;

	/**
	 * Daemons report the requests in flight that run longer than this in milliseconds.
	 */
	private static final long REPORTED = 100;

	private static final double LAST_CHOICE = 0.05;

	private final EventQueue queue;

	private final HealthMonitor monitor;

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<BackendServerId, Integer> numbers = new HashMap<>();

	private final Map<DaemonId, Integer> daemonNumbers = new HashMap<>();

	private final double[] weights;

	private final List<Ended> unreported = new ArrayList<>();

	private Set<Integer> reporting = Set.of();

	/** Takes the audit entries. */
	private Consumer<AuditEntry> log = (entry) -> {
	};

	private int ejections;

	private int denials;

	MonitorPolicy(EventQueue queue, Setup setup) {
		this.queue = queue;
		this.weights = new double[setup.servers()];
		Arrays.fill(this.weights, 1);
		List<ServicePlan.Server> servers = new ArrayList<>();
		for (int server = 0; server < setup.servers(); server++) {
			BackendServerId id = new BackendServerId("server-" + server);
			this.numbers.put(id, server);
			servers.add(new ServicePlan.Server(id, REGION, setup.slots()));
		}
		int spare = (int) Math.max(1, setup.servers() * SPARE_SHARE);
		FailureDomain first = new FailureDomain(REGION, "a");
		FailureDomain second = new FailureDomain(REGION, "b");
		int half = Setup.DAEMONS / 2;
		ServicePlan plan = new ServicePlan(ServiceSimulation.SERVICE, servers, setup.servers() - spare,
				List.of(new ServicePlan.Domain(first, half), new ServicePlan.Domain(second, half)));
		Map<FailureDomain, List<DaemonId>> voters = new HashMap<>();
		for (int number = 0; number < Setup.DAEMONS; number++) {
			Daemon daemon = new Daemon(new DaemonId("daemon-" + number, 1), (number < half) ? first : second, plan);
			this.daemonNumbers.put(daemon.id, number);
			this.daemons.add(daemon);
			voters.computeIfAbsent(daemon.domain, (added) -> new ArrayList<>()).add(daemon.id);
		}
		this.monitor = new HealthMonitor(this.daemons.getFirst().id, REGION, plan);
		this.monitor.handle(0, new HealthInput.VotersChanged(voters));
	}

	/**
	 * Sets what takes the audit entries.
	 * @param consumer the consumer
	 */
	void log(Consumer<AuditEntry> consumer) {
		this.log = consumer;
	}

	@Override
	public void ended(long now, int daemon, int server, Observation observation) {
		this.unreported.add(new Ended(now, observation));
		this.daemons.get(daemon).paths.handle(now, new HealthInput.RequestObserved(observation, 0));
	}

	@Override
	public void tick(long now, Iterable<SimulatedRequest> inFlight) {
		for (Ended ended : this.unreported) {
			perform(0, this.monitor.handle(now, new HealthInput.RequestObserved(ended.observation, now - ended.time)));
		}
		this.unreported.clear();
		reportInFlight(now, inFlight);
		perform(0, this.monitor.tick(now));
		for (int number = 0; number < this.daemons.size(); number++) {
			Daemon daemon = this.daemons.get(number);
			for (Component<HealthInput, HealthEffect> component : daemon.components) {
				if (now >= component.nextTick()) {
					perform(number, component.tick(now));
				}
			}
		}
	}

	@Override
	public double weight(int daemon, int server) {
		Set<BackendServerId> avoided = this.daemons.get(daemon).paths.avoidedServers();
		double weight = this.weights[server];
		return (avoided.isEmpty() || !avoided.contains(new BackendServerId("server-" + server))) ? weight
				: Math.min(weight, LAST_CHOICE);
	}

	@Override
	public double ejectedShare(long now, int server) {
		BackendServerId id = new BackendServerId("server-" + server);
		long following = this.daemons.stream()
			.filter((daemon) -> daemon.view.activeEjections(now, ServiceSimulation.SERVICE)
				.stream()
				.anyMatch((ejection) -> ejection.server().equals(id)))
			.count();
		return (double) following / this.daemons.size();
	}

	@Override
	public double ejections() {
		return this.ejections;
	}

	/**
	 * Returns how many daemons avoid a server because of their paths.
	 * @param server the number of the server
	 * @return the number of daemons
	 */
	int pathAvoiders(int server) {
		BackendServerId id = new BackendServerId("server-" + server);
		return (int) this.daemons.stream().filter((daemon) -> daemon.paths.avoidedServers().contains(id)).count();
	}

	/**
	 * Returns how often a server was suspected without a permit for its ejection.
	 * @return the number of reports
	 */
	int denials() {
		return this.denials;
	}

	private void reportInFlight(long now, Iterable<SimulatedRequest> inFlight) {
		Map<Integer, List<HealthInput.RunningRequest>> reports = new HashMap<>();
		for (SimulatedRequest request : inFlight) {
			long elapsed = now - request.sent / EventQueue.MICROSECONDS_PER_MILLISECOND;
			if (elapsed > REPORTED) {
				reports.computeIfAbsent(request.daemon, (added) -> new ArrayList<>())
					.add(new HealthInput.RunningRequest(new BackendServerId("server-" + request.server),
							request.workClass, elapsed));
			}
		}
		for (int earlier : this.reporting) {
			reports.computeIfAbsent(earlier, (added) -> List.of());
		}
		Set<Integer> current = new HashSet<>();
		reports.forEach((number, requests) -> {
			this.monitor.handle(now, new HealthInput.InFlightReport(this.daemons.get(number).id, requests));
			if (!requests.isEmpty()) {
				current.add(number);
			}
		});
		this.reporting = current;
	}

	private void perform(int number, List<HealthEffect> effects) {
		for (HealthEffect effect : effects) {
			switch (effect) {
				case HealthEffect.Send(DaemonId receiver, HealthMessage message) -> send(number, receiver, message);
				case HealthEffect.Broadcast(HealthMessage message) ->
					this.daemons.forEach((daemon) -> send(number, daemon.id, message));
				case HealthEffect.HealthChanged judged -> judged.servers().forEach(this::weigh);
				case HealthEffect.RecordAudit(HealthEvent _, AuditEntry entry) -> {
					count(entry.kind());
					this.log.accept(entry);
				}
				case HealthEffect.Probe probe ->
					this.queue.schedule(25 * EventQueue.MICROSECONDS_PER_MILLISECOND, () -> perform(0, this.monitor
						.handle(this.queue.milliseconds(), new HealthInput.ProbeEnded(probe.server(), true))));
				default -> {
				}
			}
		}
	}

	private void count(AuditKind kind) {
		if (kind == AuditKind.EJECTED) {
			this.ejections++;
		}
		else if (kind == AuditKind.EJECTION_DENIED) {
			this.denials++;
		}
	}

	private void weigh(ServerHealth health) {
		this.weights[this.numbers.get(health.server())] = health.weight();
	}

	private void send(int from, DaemonId receiver, HealthMessage message) {
		DaemonId sender = this.daemons.get(from).id;
		this.queue.schedule(EventQueue.MICROSECONDS_PER_MILLISECOND, () -> {
			long now = this.queue.milliseconds();
			HealthInput input = new HealthInput.MessageReceived(sender, message);
			int number = this.daemonNumbers.get(receiver);
			Daemon daemon = this.daemons.get(number);
			perform(number, daemon.keeper.handle(now, input));
			perform(number, daemon.view.handle(now, input));
			if (number == 0) {
				perform(0, this.monitor.handle(now, input));
			}
		});
	}

	private record Ended(long time, Observation observation) {
	}

	/** The components of one entry daemon. */
	private static final class Daemon {

		private final DaemonId id;

		private final FailureDomain domain;

		private final PromiseManager keeper;

		private final ActiveEjections view;

		private final PathMonitor paths;

		private final List<Component<HealthInput, HealthEffect>> components;

		private Daemon(DaemonId id, FailureDomain domain, ServicePlan plan) {
			this.id = id;
			this.domain = domain;
			this.keeper = new PromiseManager(domain, 0);
			this.view = new ActiveEjections(id);
			this.paths = new PathMonitor(id);
			this.components = List.of(this.keeper, this.view, this.paths);
			this.components.forEach((component) -> component.handle(0, new HealthInput.PlanChanged(plan)));
		}

	}

}
