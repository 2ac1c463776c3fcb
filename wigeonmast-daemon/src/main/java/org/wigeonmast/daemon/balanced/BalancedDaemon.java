package org.wigeonmast.daemon.balanced;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.balance.BalanceCoordinator;
import org.wigeonmast.balance.BalanceEffect;
import org.wigeonmast.balance.BalanceInput;
import org.wigeonmast.balance.CallerLimits;
import org.wigeonmast.balance.FleetConfiguration;
import org.wigeonmast.balance.RoutingRule;
import org.wigeonmast.balance.follow.StateChange;
import org.wigeonmast.balance.follow.StateFollower;
import org.wigeonmast.balance.follow.StateFollowerEffect;
import org.wigeonmast.balance.follow.StateFollowerInput;
import org.wigeonmast.balance.peer.PeerMessage;
import org.wigeonmast.balance.peer.PeerTable;
import org.wigeonmast.balance.peer.PeerTableEffect;
import org.wigeonmast.balance.peer.PeerTableInput;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.daemon.internal.ComponentDriver;
import org.wigeonmast.daemon.internal.ControlThread;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyServer;
import org.wigeonmast.proxy.RequestRouter;

/**
 * A daemon of a fleet without owners: connects its decisions with proxy, published state
 * and peers, and stops them in order.
 * <p>
 * Thread safety: usable from any thread. Invariant: a daemon that is stopping, or that
 * does not know the published state, is not ready.
 */
public final class BalancedDaemon implements AutoCloseable {

	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	/** Largest response in bytes that is received as a whole before it is relayed. */
	private static final int HELD_RESPONSE = 1 << 20;

	/** Time in milliseconds in which a connection to a backend server must be made. */
	private static final long CONNECT_TIMEOUT = 250;

	/** Time in milliseconds after which an idle connection to a server is closed. */
	private static final long BACKEND_IDLE = 8000;

	/** Age in milliseconds up to which an idle connection carries non-idempotent work. */
	private static final long PROVEN = 6000;

	/** Time in milliseconds that callers are accepted after the signal to stop. */
	private static final long ACCEPT_WHILE_STOPPING = 3000;

	/** Time in milliseconds after that signal at which idle connections are closed. */
	private static final long IDLE_WHILE_STOPPING = 2500;

	/** Time in milliseconds between the last forced end and the limit of a stop. */
	private static final long STOP_MARGIN = 800;

	/**
	 * Time in milliseconds after the start for which callers wait unread for the
	 * published state, before they are refused.
	 */
	private static final long LONGEST_HOLD = 600;

	/**
	 * Time in milliseconds after which a caller that came too early finds another daemon.
	 */
	private static final long RETRY_AFTER = 80;

	private static final CallerLimits LIMITS_BEFORE_CONFIGURATION = new CallerLimits(16 * 1024, 64L << 20, 3000,
			15_000);

	private final EventLog log = new EventLog(BalancedDaemon.class);

	private final MetricRegistry metrics = new MetricRegistry();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean closed = new AtomicBoolean();

	private final BalancedSettings settings;

	private final EventLoopGroup group;

	private final PublishedState state;

	private final ControlThread control;

	private final ProxyServer proxy;

	private final PeerDatagrams datagrams;

	private final StateFollower follower;

	private final BalanceCoordinator coordinator;

	private final ComponentDriver<BalanceInput, BalanceEffect> balance;

	private final ComponentDriver<StateFollowerInput, StateFollowerEffect> following;

	private final ComponentDriver<PeerTableInput, PeerTableEffect> roster;

	private volatile @Nullable FleetConfiguration configuration;

	private volatile boolean ready;

	private long callNumber;

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the settings
	 * @param clock the clock
	 * @param group the event loops for everything but the traffic
	 * @param state the published state
	 */
	public BalancedDaemon(BalancedSettings settings, MillisecondClock clock, EventLoopGroup group,
			PublishedState state) {
		this.settings = settings;
		this.group = group;
		this.state = state;
		this.control = new ControlThread(clock);
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(new SecureRandom().nextLong());
		this.follower = new StateFollower(random);
		this.coordinator = new BalanceCoordinator(settings.home(), settings.balance(), random);
		this.balance = new ComponentDriver<>(this.control, this.coordinator, this::carryOut);
		this.following = new ComponentDriver<>(this.control, this.follower, this::carryOut);
		this.roster = new ComponentDriver<>(this.control, new PeerTable(settings.peers(), settings.home(), random),
				this::carryOut);
		this.proxy = new ProxyServer(proxyConfiguration(LIMITS_BEFORE_CONFIGURATION), clock, this::route,
				this::requestEvent, this.metrics);
		this.datagrams = new PeerDatagrams(group, settings.peers(), (message) -> this.control
			.execute(() -> this.roster.handle(new PeerTableInput.MessageReceived(message))));
	}

	/**
	 * Starts to listen and to follow the published state.
	 * @return where it listens for callers
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public HostAddress start() throws WigeonmastException {
		HostAddress listening = this.proxy.listen();
		this.control.schedule(LONGEST_HOLD, this.proxy::accept);
		this.datagrams.start();
		StatusServer.listen(this.group, this.settings.readiness(), this::status);
		StatusServer.listen(this.group, this.settings.metrics(), this::status);
		this.control.execute(() -> {
			this.following.handle(new StateFollowerInput.Started());
			this.roster.handle(new PeerTableInput.SeedsChanged(this.settings.seeds()));
		});
		this.log.log(DaemonEvent.STARTED, this.settings.name(), this.settings.callers(), this.settings.peers(),
				this.settings.readiness());
		return listening;
	}

	/**
	 * Takes changed seeds.
	 * @param changed the settings
	 */
	public void reload(BalancedSettings changed) {
		this.log.log(DaemonEvent.RELOADED, changed.seeds());
		this.control.execute(() -> this.roster.handle(new PeerTableInput.SeedsChanged(changed.seeds())));
	}

	/**
	 * Returns whether the daemon is ready for callers.
	 * @return whether it is
	 */
	public boolean isReady() {
		return this.ready && !this.stopping.get();
	}

	/**
	 * Stops gracefully: readiness fails at once, requests that still come are served, and
	 * the daemon ends when all are answered.
	 * @return completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		if (this.stopping.compareAndSet(false, true)) {
			this.log.log(DaemonEvent.STOPPING, 0);
			this.control.execute(() -> this.roster.handle(new PeerTableInput.Leave()));
			CompletableFuture<Void> drained = this.proxy.drain(ACCEPT_WHILE_STOPPING);
			drained.orTimeout(this.settings.stopping() - STOP_MARGIN, TimeUnit.MILLISECONDS)
				.whenComplete((ignored, failure) -> endStop());
		}
		return this.stopped;
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			this.proxy.close();
			this.state.close();
			this.datagrams.close();
			this.control.close();
		}
	}

	private void endStop() {
		this.log.log(DaemonEvent.STOPPED);
		this.stopped.complete(null);
	}

	private RequestRouter.Result route(String host, String method, String path) {
		FleetConfiguration inForce = this.configuration;
		if (inForce == null) {
			return new RequestRouter.Result.Unconfigured("No configuration is known yet");
		}
		RoutingRule rule = inForce.findRule(host, path);
		return (rule != null) ? new RequestRouter.Result.Found(rule.choose(ThreadLocalRandom.current().nextDouble()))
				: new RequestRouter.Result.Unknown();
	}

	private void requestEvent(RequestEvent event) {
		this.control.execute(() -> this.balance.handle(new BalanceInput.RequestEventReceived(event)));
	}

	private StatusServer.Answer status(String path) {
		if (path.equals(this.settings.readinessPath())) {
			return isReady() ? new StatusServer.Answer(HttpResponseStatus.OK, "ready\n")
					: new StatusServer.Answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
		}
		return new StatusServer.Answer(HttpResponseStatus.OK, MetricsText.write(this.metrics));
	}

	private void carryOut(BalanceEffect effect) {
		switch (effect) {
			case BalanceEffect.Exchange exchange -> this.proxy.execute(exchange.command());
			case BalanceEffect.ReportObservation tell ->
				this.roster.handle(new PeerTableInput.SendObservation(tell.observation(), tell.region()));
			case BalanceEffect.RequestEnded ended -> count(ended);
			case BalanceEffect.Logged logged -> {
				if (logged.request().isEmpty()) {
					this.log.log(logged.event(), logged.parameters().toArray());
				}
				else {
					this.log.logRequest(logged.event(), logged.request(), logged.parameters().toArray());
				}
			}
		}
	}

	private void carryOut(StateFollowerEffect effect) {
		switch (effect) {
			case StateFollowerEffect.ReadState _ -> this.state.read(callResult());
			case StateFollowerEffect.Watch watch -> this.state.watch(watch.after(), callResult());
			case StateFollowerEffect.Apply apply -> apply(apply.change());
			case StateFollowerEffect.StateComplete _ -> this.log.log(DaemonEvent.READY, this.follower.revision());
			case StateFollowerEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
		}
		if (!this.ready && this.follower.isComplete()) {
			this.ready = true;
			this.proxy.accept();
		}
	}

	private Consumer<StateFollowerInput> callResult() {
		long number = ++this.callNumber;
		return (result) -> this.control.execute(() -> {
			if (number == this.callNumber) {
				this.following.handle(result);
				tellRevision();
			}
		});
	}

	private void tellRevision() {
		long now = this.control.clock().milliseconds();
		this.roster.handle(new PeerTableInput.RevisionConfirmed(this.follower.revision(),
				now - this.follower.confirmationAge(now), this.follower.steadySince()));
	}

	private void apply(StateChange change) {
		switch (change) {
			case StateChange.ServerWritten written ->
				this.balance.handle(new BalanceInput.ServerChanged(written.server()));
			case StateChange.ServerRemoved removed ->
				this.balance.handle(new BalanceInput.ServerRemoved(removed.server()));
			case StateChange.ConfigurationPublished configured -> {
				this.balance.handle(new BalanceInput.ConfigurationPublished(configured.configuration()));
				this.proxy.reconfigure(proxyConfiguration(configured.configuration().limits()));
				this.configuration = configured.configuration();
			}
		}
	}

	private void carryOut(PeerTableEffect effect) {
		switch (effect) {
			case PeerTableEffect.Send send -> {
				PeerMessage message = send.message();
				long now = this.control.clock().milliseconds();
				this.datagrams.send(send.receiver(), send.heartbeat()
						? message.withReports(this.coordinator.suspicionReports(now), this.coordinator.loads(now))
						: message);
			}
			case PeerTableEffect.FleetSizeChanged changed -> {
				this.balance.handle(new BalanceInput.FleetSizeChanged(changed.daemons()));
				this.proxy.setLiveDaemons(changed::daemons);
			}
			case PeerTableEffect.SuspicionReceived rumoured ->
				this.balance.handle(new BalanceInput.SuspicionReceived(rumoured.report()));
			case PeerTableEffect.LoadReceived load ->
				this.balance.handle(new BalanceInput.LoadReceived(load.peer(), load.loads()));
			case PeerTableEffect.ObservationReceived news ->
				this.balance.handle(new BalanceInput.ObservationReceived(news.observation()));
			case PeerTableEffect.PeerRevisionReceived peer -> {
				this.following
					.handle(new StateFollowerInput.PeerRevisionReceived(peer.revision(), peer.age(), peer.steadyFor()));
				tellRevision();
			}
			case PeerTableEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
		}
	}

	private void count(BalanceEffect.RequestEnded ended) {
		String outcome = switch (ended.outcome()) {
			case RequestOutcome.Answered answered -> "answered." + answered.status() / 100 + "xx";
			case RequestOutcome.NotRun _ -> "not-run";
			case RequestOutcome.Unknown _ -> "unknown";
		};
		Histogram durations = this.metrics.histogram("balance." + ended.service() + '.' + outcome);
		durations.update(ended.milliseconds());
	}

	private ProxyConfiguration proxyConfiguration(CallerLimits limits) {
		ProxyConfiguration.Limits sizes = ProxyConfiguration.Limits.DEFAULTS;
		ProxyConfiguration.Timeouts times = ProxyConfiguration.Timeouts.DEFAULTS;
		ProxyConfiguration.Limits chosenSizes = new ProxyConfiguration.Limits(sizes.requestLine(), limits.headBytes(),
				limits.bodyBytes(), sizes.replayableBody(), sizes.replayableBodyMemory(), sizes.unsentBytes(),
				HELD_RESPONSE);
		ProxyConfiguration.Timeouts chosenTimes = new ProxyConfiguration.Timeouts(limits.headTimeout(), times.body(),
				limits.idleTimeout(), times.request(), CONNECT_TIMEOUT, BACKEND_IDLE, PROVEN, IDLE_WHILE_STOPPING,
				RETRY_AFTER);
		return new ProxyConfiguration(this.settings.callers(), this.settings.name(),
				ProxyConfiguration.defaults(this.settings.callers()).callerConnections(), chosenSizes, chosenTimes,
				this.settings.headers());
	}

}
