package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.wigeonmast.core.Component;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.testing.EventQueue;

/**
 * A simulated fleet of daemons before the servers of one service, which fail in episodes.
 * Daemons exchange observations and loads as the platform's daemons do.
 * <p>
 * Thread safety: none.
 */
final class FailingFleetSimulation {

	/** Length of the windows in which the use of servers is measured. */
	private static final int WINDOW_MS = 2000;

	private static final int WINDOW_STEP_MS = 100;

	private static final long LENGTH_MS = 60_000;

	private static final long WARM_UP_MS = 4000;

	private static final double ERROR_SHARE = 0.012;

	private static final double EPISODE_ERROR_SHARE = 0.85;

	/** Time in which an observation or a heartbeat reaches the peers. */
	private static final long MESSAGE_MS = 10;

	private static final long HEARTBEAT_MS = 1000;

	/** Number of peers that receive a heartbeat of a daemon at a time. */
	private static final int HEARTBEATS = 2;

	/** Time after which a server answers a request that fails. */
	private static final long FAILURE_MS = 20;

	private final FleetShape shape;

	private final Random random;

	private final double requestsPerMs;

	private final List<BalanceCoordinator> daemons = new ArrayList<>();

	private final boolean[][] failing;

	private final SimulatedServer[] servers;

	private final EventQueue events = new EventQueue();

	private final Map<RequestId, Request> requests = new HashMap<>();

	private final List<Request> accepted = new ArrayList<>();

	private final List<Send> sends = new ArrayList<>();

	private final long[] ticks;

	private double nextArrival;

	private long deliveredObservations;

	FailingFleetSimulation(long seed, FleetShape shape, double requestsPerSecond) {
		this.random = new Random(seed);
		this.shape = shape;
		this.requestsPerMs = requestsPerSecond / 1000;
		this.failing = new boolean[shape.servers()][(int) LENGTH_MS];
		this.servers = new SimulatedServer[shape.servers()];
		this.ticks = new long[shape.daemons()];
		Arrays.fill(this.ticks, Component.NO_TIMER);
		for (int i = 0; i < shape.daemons(); i++) {
			this.daemons.add(new BalanceCoordinator(shape.domain(i), BalanceSettings.DEFAULTS,
					RandomGeneratorFactory.of("L64X128MixRandom").create(seed * shape.daemons() + i)));
		}
		for (int i = 0; i < shape.servers(); i++) {
			drawEpisodes(this.failing[i]);
			this.servers[i] = new SimulatedServer(shape.slots(), shape.queue());
		}
	}

	private void drawEpisodes(boolean[] states) {
		boolean state = this.random.nextDouble() < this.shape.failingMs()
				/ (this.shape.failingMs() + this.shape.healthyMs());
		double until = 0;
		for (int ms = 0; ms < states.length; ms++) {
			if (ms >= until) {
				state = (ms == 0) ? state : !state;
				until = ms - (state ? this.shape.failingMs() : this.shape.healthyMs())
						* Math.log(1 - this.random.nextDouble());
			}
			states[ms] = state;
		}
	}

	/** Runs the whole simulation. */
	void run() {
		for (int i = 0; i < this.shape.daemons(); i++) {
			int daemon = i;
			handle(daemon, new BalanceInput.ConfigurationPublished(BalanceFixtures.configuration(1)));
			handle(daemon, new BalanceInput.FleetSizeChanged(this.shape.daemons()));
			for (int server = 0; server < this.shape.servers(); server++) {
				handle(daemon, new BalanceInput.ServerChanged(
						BalanceFixtures.server("s" + server, this.shape.domain(server))));
			}
			schedule(this.random.nextInt((int) HEARTBEAT_MS), () -> heartbeat(daemon));
		}
		schedule(0, this::arrive);
		this.events.runUntil(LENGTH_MS * EventQueue.MICROSECONDS_PER_MILLISECOND - 1);
	}

	private void arrive() {
		Request request = new Request(new RequestId("r" + this.accepted.size()),
				this.random.nextInt(this.shape.daemons()), now());
		this.requests.put(request.id, request);
		this.accepted.add(request);
		handle(request.daemon, new BalanceInput.RequestEventReceived(new RequestEvent.Accepted(
				BalanceFixtures.request(request.id.value(), now() + this.shape.deadlineMs(), this.shape.targetMs()))));
		scheduleArrival();
	}

	private void scheduleArrival() {
		this.nextArrival += -Math.log(1 - this.random.nextDouble()) / this.requestsPerMs;
		schedule(Math.max(0, (long) this.nextArrival - now()), this::arrive);
	}

	private void heartbeat(int daemon) {
		List<BalanceInput> inputs = new ArrayList<>();
		inputs.add(new BalanceInput.LoadReceived(new HostAddress("127.0.0.1", 1000 + daemon),
				this.daemons.get(daemon).loads(now())));
		this.daemons.get(daemon)
			.suspicionReports(now())
			.forEach((report) -> inputs.add(new BalanceInput.SuspicionReceived(report)));
		for (int i = 0; i < HEARTBEATS; i++) {
			int peer = this.random.nextInt(this.shape.daemons());
			schedule(MESSAGE_MS, () -> inputs.forEach((input) -> handle(peer, input)));
		}
		schedule(HEARTBEAT_MS, () -> heartbeat(daemon));
	}

	private void tellPeers(int daemon, BalanceEffect.ReportObservation report) {
		BalanceInput input = new BalanceInput.ObservationReceived(report.observation());
		List<HostAddress> receivers = this.shape.audience(daemon, report.serverDomain());
		schedule(MESSAGE_MS, () -> {
			this.deliveredObservations += receivers.size();
			receivers.forEach((receiver) -> handle(receiver.port(), input));
		});
	}

	private void handle(int daemon, BalanceInput input) {
		carryOut(daemon, this.daemons.get(daemon).handle(now(), input));
	}

	private void tick(int daemon, long due) {
		if (this.ticks[daemon] == due) {
			this.ticks[daemon] = Component.NO_TIMER;
			carryOut(daemon, this.daemons.get(daemon).tick(now()));
		}
	}

	private void scheduleTick(int daemon) {
		long next = this.daemons.get(daemon).nextTick();
		if (next < this.ticks[daemon]) {
			this.ticks[daemon] = next;
			schedule(Math.max(0, next - now()), () -> tick(daemon, next));
		}
	}

	private void carryOut(int daemon, List<BalanceEffect> effects) {
		scheduleTick(daemon);
		for (BalanceEffect effect : effects) {
			if (effect instanceof BalanceEffect.Exchange exchange) {
				execute(daemon, exchange.command());
			}
			else if (effect instanceof BalanceEffect.ReportObservation report) {
				tellPeers(daemon, report);
			}
		}
	}

	private void execute(int daemon, ExchangeCommand command) {
		if (command instanceof ExchangeCommand.StartAttempt start) {
			int server = Integer.parseInt(start.server().id().value().substring(1));
			boolean inEpisode = this.failing[server][(int) now()];
			boolean fails = this.random.nextDouble() < (inEpisode ? EPISODE_ERROR_SHARE : ERROR_SHARE);
			this.sends.add(new Send(now(), server));
			long work = fails ? FAILURE_MS : this.shape.work().draw(this.random);
			Runnable answer = () -> report(daemon, start.request(), start.attempt(),
					new AttemptReport.ResponseStarted(fails ? 500 : 200, false, false), fails);
			if (!this.servers[server].accept(() -> schedule(work, () -> {
				answer.run();
				this.servers[server].finish();
			}))) {
				report(daemon, start.request(), start.attempt(), new AttemptReport.ResponseStarted(503, true, false),
						true);
			}
		}
		else if (command instanceof ExchangeCommand.Refuse refuse) {
			Request request = this.requests.get(refuse.request());
			request.failed = true;
			request.endedAt = now();
		}
		else if (command instanceof ExchangeCommand.Relay relay) {
			Request request = this.requests.get(relay.request());
			request.endedAt = now();
			report(daemon, relay.request(), relay.attempt(), new AttemptReport.Completed(request.failed ? 500 : 200),
					request.failed);
		}
	}

	private void report(int daemon, RequestId id, int attempt, AttemptReport report, boolean failed) {
		this.requests.get(id).failed = failed;
		schedule(0, () -> handle(daemon,
				new BalanceInput.RequestEventReceived(new RequestEvent.AttemptProgress(id, attempt, report))));
	}

	private long now() {
		return this.events.milliseconds();
	}

	private void schedule(long delay, Runnable action) {
		this.events.schedule(delay * EventQueue.MICROSECONDS_PER_MILLISECOND, action);
	}

	/**
	 * Returns the share of sound servers in use in each window in which more than a tenth
	 * and less than half of the requests failed. A server is sound that has had no
	 * failure episode in the window and one window before.
	 * @return the share for each such window
	 */
	List<Double> sharesInUseWhileRequestsFail() {
		List<Double> shares = new ArrayList<>();
		for (long start = WARM_UP_MS; start + WINDOW_MS < LENGTH_MS; start += WINDOW_STEP_MS) {
			long from = start;
			long to = start + WINDOW_MS;
			List<Request> inWindow = this.accepted.stream()
				.filter((request) -> request.at >= from && request.at < to)
				.toList();
			double failedShare = (double) inWindow.stream().filter((request) -> request.failed).count()
					/ inWindow.size();
			if (failedShare > 0.1 && failedShare < 0.5) {
				shares.add(shareInUse(from, to));
			}
		}
		return shares;
	}

	private double shareInUse(long from, long to) {
		Set<Integer> used = new HashSet<>();
		this.sends.stream().filter((send) -> send.at >= from && send.at < to).forEach((send) -> used.add(send.server));
		int sound = 0;
		int soundAndUsed = 0;
		for (int server = 0; server < this.shape.servers(); server++) {
			if (isSound(server, from - WINDOW_MS, to)) {
				sound++;
				soundAndUsed += used.contains(server) ? 1 : 0;
			}
		}
		return (double) soundAndUsed / Math.max(1, sound);
	}

	/**
	 * Returns the share of all requests that were not served.
	 * @return the share, from 0 to 1
	 */
	double failedShare() {
		return this.accepted.stream().filter((request) -> request.failed).count() / (double) this.accepted.size();
	}

	/**
	 * Returns the share of the served requests that took longer than a time.
	 * @param limit the time in milliseconds
	 * @return the share, from 0 to 1
	 */
	double shareServedAfter(long limit) {
		List<Request> served = this.accepted.stream()
			.filter((request) -> !request.failed && request.endedAt > 0)
			.toList();
		return served.stream().filter((request) -> request.endedAt - request.at > limit).count()
				/ (double) served.size();
	}

	/**
	 * Returns the number of observations that were delivered to a peer.
	 * @return the number
	 */
	long deliveredObservations() {
		return this.deliveredObservations;
	}

	private boolean isSound(int server, long from, long to) {
		for (long ms = from; ms < to; ms++) {
			if (this.failing[server][(int) ms]) {
				return false;
			}
		}
		return true;
	}

	/** A request and its result. */
	private static final class Request {

		private final RequestId id;

		private final int daemon;

		private final long at;

		private boolean failed;

		private long endedAt;

		private Request(RequestId id, int daemon, long at) {
			this.id = id;
			this.daemon = daemon;
			this.at = at;
		}

	}

	/**
	 * A request that was sent to a server.
	 *
	 * @param at when it was sent
	 * @param server the number of the server
	 */
	private record Send(long at, int server) {
	}

}
