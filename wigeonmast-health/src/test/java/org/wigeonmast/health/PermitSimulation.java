package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.testing.EventQueue;

/**
 * Simulation of daemons that eject servers at random under message loss and delay,
 * network partitions, clock drift, pauses and restarts.
 * <p>
 * Thread safety: none.
 */
final class PermitSimulation {

	static final int SERVERS = 6;

	static final int FLOOR = 4;

	private static final Region REGION = new Region("bagmati");

	private static final ServiceName SERVICE = new ServiceName("catalogue");

	private static final long MILLISECOND = EventQueue.MICROSECONDS_PER_MILLISECOND;

	private static final double CLOCK_ERROR = 0.01;

	private final EventQueue queue = new EventQueue();

	private final Random random;

	private final Fault fault;

	private final List<SimulatedDaemon> nodes = new ArrayList<>();

	private final Map<FailureDomain, List<DaemonId>> voters = new HashMap<>();

	private final Set<List<String>> blockedLinks = new HashSet<>();

	private final int declaredDaemons;

	private double lossRate;

	private int maxEjected;

	private boolean belowFloor;

	PermitSimulation(long seed, Fault fault) {
		this.random = new Random(seed);
		this.fault = fault;
		this.declaredDaemons = 3 + 2 * this.random.nextInt(2);
		int running = this.declaredDaemons + ((fault == Fault.MORE_DAEMONS_THAN_DECLARED) ? 1 : 0);
		for (String name : List.of("a", "b")) {
			for (int number = 0; number < running; number++) {
				this.nodes.add(new SimulatedDaemon(new FailureDomain(REGION, name), name + number));
			}
		}
		this.nodes.forEach(SimulatedDaemon::start);
	}

	/**
	 * Runs the simulation for a time in milliseconds and returns the maximum number of
	 * servers that were ejected at the same time.
	 */
	int run(long time) {
		for (long now = 0; now < time; now += 50) {
			this.queue.runUntil(now * MILLISECOND);
			this.nodes.forEach(SimulatedDaemon::tick);
			if (this.random.nextInt(4) == 0) {
				injectDisturbance();
			}
			checkInvariants();
		}
		return this.maxEjected;
	}

	boolean belowFloor() {
		return this.belowFloor;
	}

	private void checkInvariants() {
		Set<BackendServerId> union = new HashSet<>();
		for (SimulatedDaemon node : this.nodes) {
			Set<BackendServerId> available = new HashSet<>(servers());
			available.removeAll(node.unavailable);
			int least = Math.min(FLOOR, available.size());
			for (ActiveEjection ejection : node.activeEjections.activeEjections(node.now(), SERVICE)) {
				union.add(ejection.server());
				available.remove(ejection.server());
			}
			this.belowFloor |= available.size() < least;
		}
		this.maxEjected = Math.max(this.maxEjected, union.size());
	}

	private void injectDisturbance() {
		this.nodes.stream()
			.filter((owner) -> owner.permits != null)
			.forEach((owner) -> owner.receive(new HealthInput.VotersChanged(owner.copyOfVoters())));
		SimulatedDaemon node = this.nodes.get(this.random.nextInt(this.nodes.size()));
		switch (this.random.nextInt(12)) {
			case 0, 1, 2, 3 -> node.requestEjection();
			case 4 -> node.withdrawEjections();
			case 5 -> node.start();
			case 6 -> restartDomain(node.domain);
			case 7 -> node.pausedUntil = this.queue.microseconds() + this.random.nextInt(6_000) * MILLISECOND;
			case 8 -> partition();
			case 9 -> this.blockedLinks.add(List.of(node.id.name(), this.nodes.getFirst().id.name()));
			case 10 -> this.lossRate = this.random.nextInt(3) * 0.15;
			default -> node.changeAvailability();
		}
	}

	private void restartDomain(FailureDomain domain) {
		if (this.random.nextBoolean()) {
			this.nodes.stream().filter((node) -> node.domain.equals(domain)).forEach(SimulatedDaemon::start);
		}
	}

	private void partition() {
		this.blockedLinks.clear();
		if (this.random.nextBoolean()) {
			Set<SimulatedDaemon> side = new HashSet<>();
			this.nodes.stream().filter((node) -> this.random.nextBoolean()).forEach(side::add);
			for (SimulatedDaemon from : this.nodes) {
				for (SimulatedDaemon to : this.nodes) {
					if (side.contains(from) != side.contains(to)) {
						this.blockedLinks.add(List.of(from.id.name(), to.id.name()));
					}
				}
			}
		}
	}

	private void send(SimulatedDaemon from, DaemonId to, HealthMessage message) {
		int copies = (this.random.nextDouble() < this.lossRate) ? 0 : 1 + this.random.nextInt(20) / 19;
		for (int copy = 0; copy < copies; copy++) {
			boolean late = this.random.nextInt(12) == 0;
			long delay = this.random.nextInt(late ? 4_000 : 20) * MILLISECOND;
			DaemonId sender = from.id;
			this.queue.schedule(delay, () -> deliver(sender, to, message));
		}
	}

	private void deliver(DaemonId sender, DaemonId receiver, HealthMessage message) {
		for (SimulatedDaemon node : this.nodes) {
			if (node.id.equals(receiver) && !this.blockedLinks.contains(List.of(sender.name(), receiver.name()))) {
				node.receive(new HealthInput.MessageReceived(sender, this.fault.alter(node.latestSequences, message)));
			}
		}
	}

	private static List<BackendServerId> servers() {
		List<BackendServerId> servers = new ArrayList<>();
		for (int server = 0; server < SERVERS; server++) {
			servers.add(new BackendServerId("server-" + server));
		}
		return servers;
	}

	private ServicePlan plan(int daemons) {
		List<ServicePlan.Server> servers = servers().stream()
			.map((id) -> new ServicePlan.Server(id, REGION, 3))
			.toList();
		return new ServicePlan(SERVICE, servers, FLOOR,
				List.of(new ServicePlan.Domain(new FailureDomain(REGION, "a"), daemons),
						new ServicePlan.Domain(new FailureDomain(REGION, "b"), daemons)));
	}

	/** A rule of the protocol that is broken deliberately. */
	enum Fault {

		NONE,

		/** Injected fault: a restarted daemon makes promises immediately. */
		NO_WAIT_AFTER_RESTART,

		/**
		 * Injected fault: an owner counts the lease from the latest request instead of
		 * the request that was answered.
		 */
		OWNER_COUNTS_FROM_LATEST_REQUEST,

		/**
		 * Injected fault: an entry daemon counts the lease from its latest query instead
		 * of the query that was answered.
		 */
		VIEW_COUNTS_FROM_LATEST_QUERY,

		/**
		 * Injected fault: an owner needs a majority of only the daemons that answer,
		 * simulated as half of those declared.
		 */
		MAJORITY_OF_ANSWERING,

		/**
		 * Injected fault: an owner releases a permit while daemons may still apply its
		 * advice.
		 */
		EARLY_RELEASE,

		/**
		 * Injected fault: more daemons run than were declared, which breaks an assumption
		 * of the design rather than a rule.
		 */
		MORE_DAEMONS_THAN_DECLARED;

		private HealthMessage alter(Map<Object, Long> latestSequences, HealthMessage message) {
			return switch (message) {
				case HealthMessage.PromiseReply reply when this == OWNER_COUNTS_FROM_LATEST_REQUEST ->
					new HealthMessage.PromiseReply(reply.service(), reply.permit(), reply.server(),
							latestSequences.getOrDefault(reply.server(), 0L), reply.refusal(), reply.holder());
				case HealthMessage.EjectionAdvice advice when this == VIEW_COUNTS_FROM_LATEST_QUERY ->
					new HealthMessage.EjectionAdvice(advice.service(),
							latestSequences.getOrDefault(advice.service(), 0L), advice.ejections());
				default -> message;
			};
		}

	}

	/** One daemon, which may own the service. */
	private final class SimulatedDaemon {

		private final FailureDomain domain;

		private final double clockRate = 1 + CLOCK_ERROR * (2 * PermitSimulation.this.random.nextDouble() - 1);

		/**
		 * Latest sequence numbers sent, by server for promise requests and by service for
		 * queries.
		 */
		private final Map<Object, Long> latestSequences = new HashMap<>();

		private final List<HealthInput> deferredInputs = new ArrayList<>();

		private final Set<BackendServerId> unavailable = new HashSet<>();

		private DaemonId id;

		private PromiseManager promiseManager;

		private ActiveEjections activeEjections;

		private @Nullable EjectionPermits permits;

		private long pausedUntil;

		private SimulatedDaemon(FailureDomain domain, String name) {
			this.domain = domain;
			this.id = new DaemonId(name, 0);
			this.promiseManager = new PromiseManager(domain, 0);
			this.activeEjections = new ActiveEjections(this.id);
		}

		/** Restarts the daemon without its earlier state. */
		private void start() {
			this.id = new DaemonId(this.id.name(), this.id.incarnation() + 1);
			this.promiseManager = new PromiseManager(this.domain, now());
			if (PermitSimulation.this.fault == Fault.NO_WAIT_AFTER_RESTART) {
				this.promiseManager = new PromiseManager(this.domain, now() - LeaseTiming.PROMISE_MS);
				this.promiseManager.tick(now() - LeaseTiming.PROMISE_MS / 2);
			}
			this.activeEjections = new ActiveEjections(this.id);
			this.permits = null;
			this.deferredInputs.clear();
			this.unavailable.clear();
			this.promiseManager.handle(now(), new HealthInput.PlanChanged(plan(PermitSimulation.this.declaredDaemons)));
			this.activeEjections.handle(now(),
					new HealthInput.PlanChanged(plan(PermitSimulation.this.declaredDaemons)));
			List<DaemonId> members = PermitSimulation.this.voters.computeIfAbsent(this.domain,
					(added) -> new ArrayList<>());
			members.removeIf((member) -> member.name().equals(this.id.name()));
			members.add(this.id);
		}

		private long now() {
			return (long) (PermitSimulation.this.queue.microseconds() * this.clockRate / MILLISECOND);
		}

		private boolean isPaused() {
			return PermitSimulation.this.queue.microseconds() < this.pausedUntil;
		}

		private void receive(HealthInput input) {
			if (isPaused()) {
				this.deferredInputs.add(input);
				return;
			}
			List<HealthEffect> effects = new ArrayList<>(this.promiseManager.handle(now(), input));
			effects.addAll(this.activeEjections.handle(now(), input));
			if (this.permits != null) {
				effects.addAll(this.permits.handle(now(), input));
			}
			effects.forEach(this::perform);
		}

		private void tick() {
			if (isPaused()) {
				return;
			}
			// After a pause, a process handles its messages before its timers.
			List<HealthInput> inputs = List.copyOf(this.deferredInputs);
			this.deferredInputs.clear();
			inputs.forEach(this::receive);
			List<HealthEffect> effects = new ArrayList<>(this.promiseManager.tick(now()));
			effects.addAll(this.activeEjections.tick(now()));
			if (this.permits != null) {
				effects.addAll(this.permits.tick(now()));
			}
			effects.forEach(this::perform);
		}

		private void perform(HealthEffect effect) {
			switch (effect) {
				case HealthEffect.Send(DaemonId receiver, HealthMessage message) -> {
					switch (message) {
						case HealthMessage.PromiseRequest request ->
							this.latestSequences.put(request.server(), request.sequence());
						case HealthMessage.EjectionQuery query ->
							this.latestSequences.put(query.service(), query.sequence());
						default -> {
						}
					}
					send(this, receiver, message);
				}
				case HealthEffect.Broadcast(HealthMessage message) ->
					PermitSimulation.this.nodes.forEach((node) -> send(this, node.id, message));
				default -> {
				}
			}
		}

		private void requestEjection() {
			if (this.permits == null) {
				boolean understated = PermitSimulation.this.fault == Fault.MAJORITY_OF_ANSWERING;
				int daemons = understated ? PermitSimulation.this.declaredDaemons / 2
						: PermitSimulation.this.declaredDaemons;
				this.permits = new EjectionPermits(this.id, REGION, plan(daemons));
			}
			BackendServerId server = new BackendServerId("server-" + PermitSimulation.this.random.nextInt(SERVERS));
			receive(new HealthInput.VotersChanged(copyOfVoters()));
			receive(new HealthInput.EjectionRequested(server, PermitSimulation.this.random.nextInt(100), false,
					"test"));
		}

		private void withdrawEjections() {
			for (BackendServerId server : servers()) {
				boolean held = this.permits != null && this.permits.holdsPermit(now(), server);
				receive(new HealthInput.EjectionWithdrawn(server));
				if (held && PermitSimulation.this.fault == Fault.EARLY_RELEASE) {
					for (int permit = 0; permit < SERVERS - FLOOR; permit++) {
						HealthMessage release = new HealthMessage.PromiseRelease(SERVICE, permit, server,
								Long.MAX_VALUE);
						copyOfVoters().values().forEach((daemons) -> daemons.forEach((to) -> send(this, to, release)));
					}
				}
			}
		}

		private void changeAvailability() {
			BackendServerId server = servers().get(PermitSimulation.this.random.nextInt(SERVERS));
			boolean leaves = this.unavailable.isEmpty() && PermitSimulation.this.random.nextBoolean();
			this.unavailable
				.forEach((other) -> receive(new HealthInput.AvailabilityChanged(other, Availability.AVAILABLE)));
			this.unavailable.clear();
			if (leaves && !isPaused()) {
				this.unavailable.add(server);
				receive(new HealthInput.AvailabilityChanged(server, Availability.LEAVING));
			}
		}

		private Map<FailureDomain, List<DaemonId>> copyOfVoters() {
			Map<FailureDomain, List<DaemonId>> copy = new HashMap<>();
			PermitSimulation.this.voters.forEach((name, members) -> copy.put(name, List.copyOf(members)));
			return copy;
		}

	}

}
