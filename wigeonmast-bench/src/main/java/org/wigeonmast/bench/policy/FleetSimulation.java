package org.wigeonmast.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.Component;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.CoordinatorInput;
import org.wigeonmast.dispatch.DispatchEffect;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.DispatchMode;
import org.wigeonmast.dispatch.OwnedServices;
import org.wigeonmast.dispatch.OwnerInput;
import org.wigeonmast.dispatch.RequestCoordinator;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.BackendServer;
import org.wigeonmast.manifest.Service;
import org.wigeonmast.manifest.WorkClass;
import org.wigeonmast.testing.EventQueue;
import org.wigeonmast.testing.FakeBackendServer;
import org.wigeonmast.testing.RequestGuaranteeChecker;

/**
 * A fleet of daemons and backend servers in virtual time under one policy.
 * <p>
 * Thread safety: none. Invariant: a run depends on scenario, policy and seed only.
 */
final class FleetSimulation {

	static final ServiceName SERVICE = new ServiceName("service");

	private static final long LOCAL_DELAY = 100;

	private static final long REGION_DELAY = 20_000;

	/** Requests that wait at a server for each slot before it sheds further ones. */
	private static final int SERVER_QUEUE = 4;

	private static final long DRAIN = 20 * Scenario.SECOND;

	/**
	 * A refusal is late when it takes longer and leaves too little time to try elsewhere.
	 */
	private static final long LATE_REFUSAL = 50_000;

	private static final long TIME_TO_TRY_ELSEWHERE = 200_000;

	private final EventQueue queue = new EventQueue();

	private final Map<BackendServerId, FakeBackendServer> servers = new HashMap<>();

	private final Map<DaemonId, SimulatedDaemon> daemons = new HashMap<>();

	private final List<SimulatedDaemon> order = new ArrayList<>();

	private final RequestGuaranteeChecker ledger = new RequestGuaranteeChecker();

	private final Scenario scenario;

	private final Policy policy;

	private final Workload workload;

	private final RunResult result;

	FleetSimulation(Scenario scenario, Policy policy, long seed) {
		this(scenario, policy, seed, UnaryOperator.identity());
	}

	// A test of the ledger replaces the coordinators by broken ones.
	FleetSimulation(Scenario scenario, Policy policy, long seed,
			UnaryOperator<Component<CoordinatorInput, DispatchEffect>> replacement) {
		this.scenario = scenario;
		this.policy = policy;
		this.workload = new Workload(scenario, seed);
		this.result = new RunResult(scenario);
		Random random = new Random(seed * 31 + policy.ordinal());
		List<BackendServer> all = new ArrayList<>();
		for (Region region : regions()) {
			for (int i = 0; i < scenario.serversPerRegion(); i++) {
				BackendServer server = new BackendServer(new BackendServerId(region + "-" + i),
						new HostAddress("127.0.0.1", 9000 + i), domain(region, i), scenario.slots(), 330);
				all.add(server);
				this.servers.put(server.id(), backend(server, random, i < scenario.gray()));
			}
		}
		Service service = new Service(SERVICE, all, 1, Scenario.LONG_SHARE, 0, Service.DEFAULT_KEY_LIFETIME_MS);
		for (int i = 0; i < Workload.DAEMONS; i++) {
			Region region = regions().get(i % Scenario.REGIONS);
			DaemonId id = new DaemonId("daemon-" + i, 1);
			List<BackendServer> local = all.stream()
				.filter((server) -> server.failureDomain().region().equals(region))
				.toList();
			Component<CoordinatorInput, DispatchEffect> coordinator = switch (policy) {
				case RANDOM, ROUND_ROBIN -> new BaselineCoordinator(local, policy == Policy.ROUND_ROBIN, random);
				case TWO_CHOICES, GRANTS, HYBRID -> new RequestCoordinator(id, region, random);
			};
			add(new SimulatedDaemon(id, domain(region, i / Scenario.REGIONS), this, replacement.apply(coordinator),
					new OwnedServices(0, id, region, scenario.order())));
		}
		configure(service);
	}

	RunResult run() {
		scheduleNext();
		this.queue.runUntil(this.scenario.duration() + DRAIN);
		this.result.violations.addAll(this.ledger.finalViolations());
		return this.result;
	}

	EventQueue queue() {
		return this.queue;
	}

	Policy policy() {
		return this.policy;
	}

	RunResult result() {
		return this.result;
	}

	FakeBackendServer server(BackendServerId id) {
		return this.servers.get(id);
	}

	static CallerId caller(int number) {
		return new CallerId("caller-" + number);
	}

	long delay(FailureDomain from, FailureDomain to) {
		if (from.equals(to)) {
			return LOCAL_DELAY;
		}
		return from.region().equals(to.region()) ? this.scenario.domainDelay() : REGION_DELAY;
	}

	void send(SimulatedDaemon sender, DaemonId receiver, DispatchMessage message) {
		SimulatedDaemon target = this.daemons.get(receiver);
		this.result.messages++;
		long delay = (target == sender) ? 0 : delay(sender.domain(), target.domain());
		this.queue.schedule(delay, () -> target.receive(sender.id(), message));
	}

	void ended(RequestId id, @Nullable SimulatedRequest request, RequestOutcome outcome) {
		this.ledger.recordEnded(id, outcome);
		if (request == null) {
			return;
		}
		long now = this.queue.microseconds();
		switch (outcome) {
			case RequestOutcome.Answered _ -> this.result.answered(request, now);
			case RequestOutcome.NotRun _ -> {
				this.result.refused++;
				long deadline = (request.workClass() == WorkClass.LONG) ? Scenario.LONG_DEADLINE
						: Scenario.SHORT_DEADLINE;
				long left = request.arrival() + deadline * 1000 - now;
				if (now - request.arrival() > LATE_REFUSAL && left < TIME_TO_TRY_ELSEWHERE) {
					this.result.refusedLate++;
				}
			}
			case RequestOutcome.Unknown _ -> this.result.unknown++;
		}
	}

	private void add(SimulatedDaemon daemon) {
		this.daemons.put(daemon.id(), daemon);
		this.order.add(daemon);
	}

	private void scheduleNext() {
		SimulatedRequest request = this.workload.next();
		if (request.arrival() <= this.scenario.duration()) {
			this.queue.schedule(request.arrival() - this.queue.microseconds(), () -> {
				this.ledger.recordAccepted(request.id(), request.idempotent());
				if (request.workClass() == WorkClass.LONG) {
					this.result.longArrivals++;
				}
				else {
					this.result.arrivals++;
				}
				this.order.get(request.daemon()).accept(request);
				scheduleNext();
			});
		}
	}

	private FakeBackendServer backend(BackendServer server, Random random, boolean gray) {
		FakeBackendServer backend = new FakeBackendServer(this.queue, random, server.slots(),
				SERVER_QUEUE * server.slots());
		backend.setSlowdown(gray ? this.scenario.graySlowdown() : 1);
		backend.setStartListener((run) -> this.ledger.recordRun(new RequestId(run.substring(0, run.indexOf('/')))));
		return backend;
	}

	// Every policy gets the same idealized judgement: gray servers are the last choice.
	private List<ServerHealth> health() {
		List<ServerHealth> health = new ArrayList<>();
		for (Region region : regions()) {
			for (int i = 0; i < this.scenario.gray(); i++) {
				health.add(new ServerHealth(new BackendServerId(region + "-" + i), ServerHealth.State.AVOIDED, 0));
			}
		}
		return health;
	}

	private void configure(Service service) {
		boolean owners = this.policy == Policy.GRANTS || this.policy == Policy.HYBRID;
		for (SimulatedDaemon daemon : this.order) {
			daemon.coordinate(new CoordinatorInput.ServiceChanged(service));
			daemon.coordinate(new CoordinatorInput.RegionsChanged(Set.copyOf(regions())));
			daemon.coordinate(new CoordinatorInput.HealthChanged(SERVICE, health()));
			daemon.own(new OwnerInput.ServiceChanged(service));
			daemon.own(new OwnerInput.HealthChanged(SERVICE,
					health().stream().map((server) -> new DispatchMessage.AdvisedServer(server, 0)).toList()));
			Region region = daemon.domain().region();
			List<DaemonId> ranked = this.order.stream()
				.filter((other) -> other.domain().region().equals(region))
				.map(SimulatedDaemon::id)
				.toList();
			if (owners) {
				daemon.coordinate(new CoordinatorInput.OwnersChanged(SERVICE, region, ranked));
				daemon.own(new OwnerInput.OwnersChanged(SERVICE, ranked));
			}
			if (this.policy == Policy.GRANTS) {
				daemon.coordinate(new CoordinatorInput.Received(ranked.getFirst(),
						new DispatchMessage.DispatchAdvice(SERVICE, DispatchMode.GRANTED, List.of())));
			}
		}
	}

	private static List<Region> regions() {
		return List.of(new Region("first"), new Region("second"));
	}

	private static FailureDomain domain(Region region, int number) {
		return new FailureDomain(region, (number % 2 == 0) ? "a" : "b");
	}

}
