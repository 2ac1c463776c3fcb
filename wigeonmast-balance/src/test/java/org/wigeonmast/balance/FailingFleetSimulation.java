package org.wigeonmast.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;

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

	private static final int DAEMONS = 36;

	private static final int SERVERS = 16;

	private static final long LENGTH_MS = 60_000;

	private static final long WARM_UP_MS = 4000;

	private static final long DEADLINE_MS = 2000;

	/** Average time between the failure episodes of a server. */
	private static final double HEALTHY_MS = 13_000;

	/** Average length of a failure episode. */
	private static final double FAILING_MS = 5600;

	private static final double ERROR_SHARE = 0.012;

	private static final double EPISODE_ERROR_SHARE = 0.85;

	/** Time in which an observation or a heartbeat reaches the peers. */
	private static final long MESSAGE_MS = 10;

	private static final long HEARTBEAT_MS = 1000;

	private static final List<FailureDomain> DOMAINS = List.of(BalanceFixtures.HOME, BalanceFixtures.NEAR,
			BalanceFixtures.FAR, new FailureDomain(new Region("dire"), "sabian"));

	private final Random random;

	private final double requestsPerMs;

	private final List<BalanceCoordinator> daemons = new ArrayList<>();

	private final boolean[][] failing = new boolean[SERVERS][(int) LENGTH_MS];

	private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> (one.at != other.at)
			? Long.compare(one.at, other.at) : Long.compare(one.number, other.number));

	private final Map<RequestId, Request> requests = new HashMap<>();

	private final List<Request> accepted = new ArrayList<>();

	private final List<Send> sends = new ArrayList<>();

	private long now;

	private long eventNumber;

	FailingFleetSimulation(long seed, double requestsPerSecond) {
		this.random = new Random(seed);
		this.requestsPerMs = requestsPerSecond / 1000;
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new BalanceCoordinator(DOMAINS.get(i % DOMAINS.size()), BalanceSettings.DEFAULTS,
					RandomGeneratorFactory.of("L64X128MixRandom").create(seed * DAEMONS + i)));
		}
		for (int i = 0; i < SERVERS; i++) {
			drawEpisodes(this.failing[i]);
		}
	}

	private void drawEpisodes(boolean[] states) {
		boolean state = this.random.nextDouble() < FAILING_MS / (FAILING_MS + HEALTHY_MS);
		double until = 0;
		for (int ms = 0; ms < states.length; ms++) {
			if (ms >= until) {
				state = (ms == 0) ? state : !state;
				until = ms - (state ? FAILING_MS : HEALTHY_MS) * Math.log(1 - this.random.nextDouble());
			}
			states[ms] = state;
		}
	}

	/** Runs the whole simulation. */
	void run() {
		for (int i = 0; i < DAEMONS; i++) {
			int daemon = i;
			handle(daemon, new BalanceInput.ConfigurationPublished(BalanceFixtures.configuration(1)));
			handle(daemon, new BalanceInput.FleetSizeChanged(DAEMONS));
			for (int server = 0; server < SERVERS; server++) {
				handle(daemon, new BalanceInput.ServerChanged(
						BalanceFixtures.server("s" + server, DOMAINS.get(server % DOMAINS.size()))));
			}
			schedule(this.random.nextInt((int) HEARTBEAT_MS), () -> heartbeat(daemon));
		}
		schedule(0, this::arrive);
		while (!this.events.isEmpty() && this.events.peek().at < LENGTH_MS) {
			Event event = this.events.remove();
			this.now = event.at;
			event.action.run();
		}
	}

	private void arrive() {
		Request request = new Request(new RequestId("r" + this.accepted.size()), this.random.nextInt(DAEMONS),
				this.now);
		this.requests.put(request.id, request);
		this.accepted.add(request);
		handle(request.daemon, new BalanceInput.RequestEventReceived(
				new RequestEvent.Accepted(BalanceFixtures.request(request.id.value(), false, this.now + DEADLINE_MS))));
		schedule((long) (-Math.log(1 - this.random.nextDouble()) / this.requestsPerMs), this::arrive);
	}

	private void heartbeat(int daemon) {
		BalanceInput loads = new BalanceInput.LoadReceived(new HostAddress("127.0.0.1", 1000 + daemon),
				this.daemons.get(daemon).loads(this.now));
		tellPeers(daemon, loads);
		this.daemons.get(daemon)
			.suspicionReports(this.now)
			.forEach((report) -> tellPeers(daemon, new BalanceInput.SuspicionReceived(report)));
		schedule(HEARTBEAT_MS, () -> heartbeat(daemon));
	}

	private void tellPeers(int daemon, BalanceInput input) {
		schedule(MESSAGE_MS, () -> {
			for (int peer = 0; peer < DAEMONS; peer++) {
				if (peer != daemon) {
					handle(peer, input);
				}
			}
		});
	}

	private void handle(int daemon, BalanceInput input) {
		for (BalanceEffect effect : this.daemons.get(daemon).handle(this.now, input)) {
			if (effect instanceof BalanceEffect.Exchange exchange) {
				execute(daemon, exchange.command());
			}
			else if (effect instanceof BalanceEffect.ReportObservation report) {
				tellPeers(daemon, new BalanceInput.ObservationReceived(report.observation()));
			}
		}
	}

	private void execute(int daemon, ExchangeCommand command) {
		if (command instanceof ExchangeCommand.StartAttempt start) {
			int server = Integer.parseInt(start.server().id().value().substring(1));
			boolean inEpisode = this.failing[server][(int) this.now];
			boolean fails = this.random.nextDouble() < (inEpisode ? EPISODE_ERROR_SHARE : ERROR_SHARE);
			this.sends.add(new Send(this.now, server));
			schedule(fails ? 20 : 100 + this.random.nextInt(200), () -> report(daemon, start.request(), start.attempt(),
					new AttemptReport.ResponseStarted(fails ? 500 : 200, false, false), fails));
		}
		else if (command instanceof ExchangeCommand.Relay relay) {
			Request request = this.requests.get(relay.request());
			report(daemon, relay.request(), relay.attempt(), new AttemptReport.Completed(request.failed ? 500 : 200),
					request.failed);
		}
	}

	private void report(int daemon, RequestId id, int attempt, AttemptReport report, boolean failed) {
		this.requests.get(id).failed = failed;
		schedule(0, () -> handle(daemon,
				new BalanceInput.RequestEventReceived(new RequestEvent.AttemptProgress(id, attempt, report))));
	}

	private void schedule(long delay, Runnable action) {
		this.events.add(new Event(this.now + delay, this.eventNumber++, action));
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
		for (int server = 0; server < SERVERS; server++) {
			if (isSound(server, from - WINDOW_MS, to)) {
				sound++;
				soundAndUsed += used.contains(server) ? 1 : 0;
			}
		}
		return (double) soundAndUsed / Math.max(1, sound);
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

	/**
	 * A scheduled action.
	 *
	 * @param at when it is due
	 * @param number the order of events that are due at the same time
	 * @param action the action
	 */
	private record Event(long at, long number, Runnable action) {
	}

}
