package org.wigeonmast.bench.detection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.Observation;
import org.wigeonmast.health.Observation.Result;
import org.wigeonmast.manifest.WorkClass;
import org.wigeonmast.testing.EventQueue;

/**
 * Backend servers of one service under random traffic of all daemons, in virtual time.
 * <p>
 * Short work is sent at once and waits at the server when all slots are busy. Long work
 * is sent when the server runs less of it than it has slots but one, as the owner grants
 * it. Server 0 is the one that becomes faulty.
 * <p>
 * Thread safety: none. Invariant: a run depends only on its seed, setup, fault and
 * policy.
 */
final class ServiceSimulation {

	static final ServiceName SERVICE = new ServiceName("service");

	private static final int FAULTY = 0;

	private static final long MILLISECOND = EventQueue.MICROSECONDS_PER_MILLISECOND;

	private static final long SHORT_TIMEOUT = 2_000;

	private static final long LONG_TIMEOUT = 30_000;

	/** Requests that wait at a server before it sheds more. */
	private static final int QUEUE_LIMIT = 20;

	private static final double BACKGROUND_ERRORS = 0.001;

	private final EventQueue queue;

	private final SplittableRandom random;

	private final ServiceTimes times;

	private final Setup setup;

	private final Fault fault;

	private final Policy policy;

	private final long faultStart;

	private final Server[] servers;

	private final DaemonId[] daemons = new DaemonId[Setup.DAEMONS];

	private final Set<SimulatedRequest> inFlight = new LinkedHashSet<>();

	/** Whether the answers are lost on a cut path, or the requests. */
	private final boolean answersLost;

	ServiceSimulation(EventQueue queue, long seed, Setup setup, Fault fault, long faultStart, Policy policy) {
		this.queue = queue;
		this.random = new SplittableRandom(seed);
		this.times = new ServiceTimes(this.random);
		this.setup = setup;
		this.fault = fault;
		this.faultStart = faultStart;
		this.policy = policy;
		this.answersLost = this.random.nextBoolean();
		this.servers = new Server[setup.servers()];
		for (int server = 0; server < this.servers.length; server++) {
			this.servers[server] = new Server(new BackendServerId("server-" + server));
		}
		for (int daemon = 0; daemon < this.daemons.length; daemon++) {
			this.daemons[daemon] = new DaemonId("daemon-" + daemon, 1);
		}
		scheduleArrival();
		this.queue.schedule(Policy.PERIOD * MILLISECOND, this::tick);
	}

	/**
	 * Runs the simulation.
	 * @param time the time in milliseconds until which it runs
	 */
	void runUntil(long time) {
		this.queue.runUntil(time * MILLISECOND);
	}

	private void tick() {
		this.policy.tick(this.queue.milliseconds(), this.inFlight);
		this.queue.schedule(Policy.PERIOD * MILLISECOND, this::tick);
	}

	private void scheduleArrival() {
		double rate = this.setup.rate() * this.servers.length;
		double gap = -Math.log(1 - this.random.nextDouble()) / rate;
		this.queue.schedule((long) (gap * 1000 * MILLISECOND), this::arrive);
	}

	private void arrive() {
		scheduleArrival();
		int daemon = this.random.nextInt(Setup.DAEMONS);
		int server = choose(daemon);
		WorkClass workClass = this.times.workClass();
		SimulatedRequest request = new SimulatedRequest(daemon, server, workClass, this.queue.microseconds(),
				this.times.draw(workClass));
		if (workClass == WorkClass.LONG && !this.servers[server].admitsLong()) {
			this.servers[server].hold(request);
		}
		else {
			send(request);
		}
	}

	private int choose(int daemon) {
		double total = 0;
		for (int server = 0; server < this.servers.length; server++) {
			total += this.policy.weight(daemon, server);
		}
		double point = this.random.nextDouble() * total;
		for (int server = 0; server < this.servers.length; server++) {
			point -= this.policy.weight(daemon, server);
			if (point < 0) {
				return server;
			}
		}
		return this.random.nextInt(this.servers.length);
	}

	private void send(SimulatedRequest request) {
		Server server = this.servers[request.server];
		this.inFlight.add(request);
		long timeout = (request.workClass == WorkClass.SHORT) ? SHORT_TIMEOUT : LONG_TIMEOUT;
		if (request.workClass == WorkClass.LONG) {
			server.longWork++;
		}
		boolean cut = request.server == FAULTY && faultActive()
				&& request.daemon < this.fault.cutShare() * Setup.DAEMONS;
		request.lost = cut;
		this.queue.schedule(timeout * MILLISECOND, () -> timeOut(request));
		if (cut && !this.answersLost) {
			return;
		}
		if (server.running < this.setup.slots()) {
			start(request);
		}
		else if (server.waiting.size() < QUEUE_LIMIT) {
			server.waiting.add(request);
		}
		else {
			end(request, Result.SHED);
		}
	}

	private void start(SimulatedRequest request) {
		this.servers[request.server].running++;
		request.running = true;
		double slowdown = affected(request) ? this.fault.slowdown(sinceFault()) : 1;
		this.queue.schedule((long) (request.serviceTime * slowdown * MILLISECOND), () -> finish(request));
	}

	private void finish(SimulatedRequest request) {
		if (!request.running) {
			return;
		}
		boolean affected = affected(request) && faultActive();
		if (affected && this.fault.silent()) {
			return;
		}
		free(request);
		if (!request.ended && !request.lost) {
			double errors = affected ? Math.max(this.fault.failureShare(), BACKGROUND_ERRORS) : BACKGROUND_ERRORS;
			end(request, (this.random.nextDouble() < errors) ? Result.FAILED : Result.SUCCEEDED);
		}
	}

	private void timeOut(SimulatedRequest request) {
		if (!request.ended) {
			end(request, Result.TIMED_OUT);
			if (request.running) {
				free(request);
			}
			else {
				this.servers[request.server].waiting.remove(request);
			}
		}
	}

	private void free(SimulatedRequest request) {
		Server server = this.servers[request.server];
		request.running = false;
		server.running--;
		SimulatedRequest next = server.waiting.poll();
		if (next != null) {
			start(next);
		}
	}

	private void end(SimulatedRequest request, Result result) {
		request.ended = true;
		this.inFlight.remove(request);
		Server server = this.servers[request.server];
		long now = this.queue.milliseconds();
		this.policy.ended(now, request.daemon, request.server, new Observation(SERVICE, server.id, request.workClass,
				this.daemons[request.daemon], result, now - request.sent / MILLISECOND));
		if (request.workClass == WorkClass.LONG) {
			server.longWork--;
			SimulatedRequest next = server.ungranted.poll();
			if (next != null) {
				send(new SimulatedRequest(next.daemon, next.server, next.workClass, this.queue.microseconds(),
						next.serviceTime));
			}
		}
	}

	private boolean affected(SimulatedRequest request) {
		return this.fault.everyServer() || request.server == FAULTY;
	}

	private boolean faultActive() {
		return this.fault.active(sinceFault());
	}

	private double sinceFault() {
		return (double) this.queue.microseconds() / MILLISECOND - this.faultStart;
	}

	/** A backend server with its queue. */
	private final class Server {

		private final BackendServerId id;

		private final Deque<SimulatedRequest> waiting = new ArrayDeque<>();

		/** Long work that the owner has not granted yet. */
		private final Deque<SimulatedRequest> ungranted = new ArrayDeque<>();

		private int running;

		private int longWork;

		private Server(BackendServerId id) {
			this.id = id;
		}

		private void hold(SimulatedRequest request) {
			if (this.ungranted.size() < QUEUE_LIMIT) {
				this.ungranted.add(request);
			}
		}

		private boolean admitsLong() {
			return this.longWork < Math.max(1, ServiceSimulation.this.setup.slots() - 1);
		}

	}

}
