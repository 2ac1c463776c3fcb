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
 * A daemon of a fleet without owners. Connects the balancing components to the proxy, the
 * published state and the peers, and shuts them down in order.
 * <p>
 * Thread safety: usable from any thread. Invariant: a daemon that is stopping, or that
 * has not read the complete published state, is not ready.
 */
public final class BalancedDaemon implements AutoCloseable {

	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	/**
	 * Maximum size in bytes of a response that is buffered completely before it is
	 * relayed.
	 */
	private static final int MAX_BUFFERED_RESPONSE_BYTES = 1 << 20;

	/**
	 * Maximum size in bytes of all responses that are buffered at a time, a fraction of
	 * the heap.
	 */
	private static final int MAX_BUFFERED_MEMORY_BYTES = 16 << 20;

	/** Timeout for connecting to a backend server. */
	private static final long CONNECT_TIMEOUT_MS = 250;

	/** Idle time after which a connection to a backend server is closed. */
	private static final long BACKEND_IDLE_TIMEOUT_MS = 8000;

	/**
	 * Maximum time since its last complete response for which an idle connection carries
	 * non-idempotent requests.
	 */
	private static final long NON_IDEMPOTENT_REUSE_MAX_AGE_MS = 6000;

	/**
	 * Time after the stop signal during which new connections of callers are still
	 * accepted.
	 */
	private static final long DRAIN_ACCEPT_MS = 3000;

	/** Time after the stop signal at which idle connections of callers are closed. */
	private static final long DRAIN_IDLE_TIMEOUT_MS = 2500;

	/**
	 * Maximum time between the forced end of the last requests and the configured stop
	 * timeout.
	 */
	private static final long MAX_STOP_MARGIN_MS = 800;

	/** Share of the stop timeout that this margin never exceeds. */
	private static final double MAX_STOP_MARGIN_SHARE = 0.125;

	/**
	 * Time within which the connections that are open at the end of a stop are closed;
	 * the process ends after that in any case.
	 */
	private static final long CLOSE_CALLERS_TIMEOUT_MS = 100;

	/**
	 * Time after the start for which connections of callers are held unread until the
	 * published state is known. After that, requests are read and refused.
	 */
	private static final long MAX_START_HOLD_MS = 600;

	/**
	 * Retry delay sent to a caller whose request arrived before this daemon was ready;
	 * until then the caller is expected to reach another daemon.
	 */
	private static final long RETRY_AFTER_MS = 80;

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

	private final ComponentDriver<BalanceInput, BalanceEffect> balanceDriver;

	private final ComponentDriver<StateFollowerInput, StateFollowerEffect> followerDriver;

	private final ComponentDriver<PeerTableInput, PeerTableEffect> peerTableDriver;

	private volatile @Nullable FleetConfiguration configuration;

	private volatile boolean ready;

	private long callNumber;

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the settings
	 * @param clock the clock
	 * @param group the event loops for everything except proxied traffic
	 * @param state the published state
	 */
	public BalancedDaemon(BalancedSettings settings, MillisecondClock clock, EventLoopGroup group,
			PublishedState state) {
		this.settings = settings;
		this.group = group;
		this.state = state;
		this.control = new ControlThread(clock);
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(new SecureRandom().nextLong());
		this.follower = new StateFollower(settings.maxChangeDelayMs(), random);
		this.coordinator = new BalanceCoordinator(settings.failureDomain(), settings.balance(), random);
		this.balanceDriver = new ComponentDriver<>(this.control, this.coordinator, this::applyEffect);
		this.followerDriver = new ComponentDriver<>(this.control, this.follower, this::applyEffect);
		this.peerTableDriver = new ComponentDriver<>(this.control,
				new PeerTable(settings.peers(), settings.failureDomain(), clock.timeOfDay().getEpochSecond(), random),
				this::applyEffect);
		this.proxy = new ProxyServer(proxyConfiguration(LIMITS_BEFORE_CONFIGURATION), clock, this::route,
				this::onRequestEvent, this.metrics);
		this.datagrams = new PeerDatagrams(group, settings.peers(), (message) -> this.control
			.execute(() -> this.peerTableDriver.handle(new PeerTableInput.MessageReceived(message))));
	}

	/**
	 * Starts listening and following the published state.
	 * @return the address on which callers are accepted
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public HostAddress start() throws WigeonmastException {
		HostAddress listening = this.proxy.listen();
		this.control.schedule(MAX_START_HOLD_MS, this.proxy::accept);
		this.datagrams.start();
		StatusServer.listen(this.group, this.settings.readiness(), this::respond);
		StatusServer.listen(this.group, this.settings.metrics(), this::respond);
		this.control.execute(() -> {
			this.followerDriver.handle(new StateFollowerInput.Started());
			this.peerTableDriver.handle(new PeerTableInput.SeedsChanged(this.settings.seeds()));
		});
		this.log.log(DaemonEvent.STARTED, this.settings.name(), this.settings.callers(), this.settings.peers(),
				this.settings.readiness());
		return listening;
	}

	/**
	 * Applies the seeds of changed settings; all other settings keep their values.
	 * @param changed the changed settings
	 */
	public void reload(BalancedSettings changed) {
		this.log.log(DaemonEvent.RELOADED, changed.seeds());
		this.control.execute(() -> this.peerTableDriver.handle(new PeerTableInput.SeedsChanged(changed.seeds())));
	}

	/**
	 * Returns whether the daemon is ready for callers.
	 * @return {@code true} if it is ready and not stopping
	 */
	public boolean isReady() {
		return this.ready && !this.stopping.get();
	}

	/**
	 * Stops gracefully: readiness fails at once, requests that still arrive are served if
	 * they end before the stop timeout and refused as not run otherwise, and the daemon
	 * stops once all are answered.
	 * @return a future that completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		if (this.stopping.compareAndSet(false, true)) {
			this.log.log(DaemonEvent.STOPPING, this.proxy.requestsInFlight());
			this.control.execute(() -> this.peerTableDriver.handle(new PeerTableInput.Leave()));
			long limitMs = drainLimitMs(this.settings.stopTimeoutMs());
			this.proxy.drain(DRAIN_ACCEPT_MS, limitMs)
				.orTimeout(limitMs, TimeUnit.MILLISECONDS)
				.whenComplete((ignored, failure) -> completeStop());
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

	private static long drainLimitMs(long stopTimeoutMs) {
		return stopTimeoutMs - Math.min(MAX_STOP_MARGIN_MS, (long) (stopTimeoutMs * MAX_STOP_MARGIN_SHARE));
	}

	private void completeStop() {
		long unfinished = this.proxy.requestsInFlight();
		if (unfinished > 0) {
			this.log.log(DaemonEvent.STOP_TIMED_OUT, unfinished);
		}
		else {
			this.log.log(DaemonEvent.STOPPED);
		}
		// The end of the process closes connections later than that: the Java runtime
		// waits for threads in native code first.
		this.proxy.closeCallers()
			.orTimeout(CLOSE_CALLERS_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.whenComplete((ignored, failure) -> this.stopped.complete(null));
	}

	private RequestRouter.Result route(String host, String method, String path) {
		FleetConfiguration current = this.configuration;
		if (current == null) {
			return new RequestRouter.Result.Unconfigured("No configuration is known yet");
		}
		RoutingRule rule = current.findRule(host, path);
		return (rule != null) ? new RequestRouter.Result.Found(rule.choose(ThreadLocalRandom.current().nextDouble()))
				: new RequestRouter.Result.Unknown();
	}

	private void onRequestEvent(RequestEvent event) {
		this.control.execute(() -> this.balanceDriver.handle(new BalanceInput.RequestEventReceived(event)));
	}

	private StatusServer.TextResponse respond(String path) {
		if (path.equals(this.settings.readinessPath())) {
			return isReady() ? new StatusServer.TextResponse(HttpResponseStatus.OK, "ready\n")
					: new StatusServer.TextResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
		}
		return new StatusServer.TextResponse(HttpResponseStatus.OK, MetricsText.format(this.metrics));
	}

	private void applyEffect(BalanceEffect effect) {
		switch (effect) {
			case BalanceEffect.Exchange exchange -> this.proxy.execute(exchange.command());
			case BalanceEffect.ReportObservation report -> this.peerTableDriver
				.handle(new PeerTableInput.SendObservation(report.observation(), report.serverDomain()));
			case BalanceEffect.RequestEnded ended -> recordOutcome(ended);
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

	private void applyEffect(StateFollowerEffect effect) {
		switch (effect) {
			case StateFollowerEffect.ReadState _ -> this.state.read(resultHandler());
			case StateFollowerEffect.Watch watch -> this.state.watch(watch.after(), resultHandler());
			case StateFollowerEffect.Apply apply -> apply(apply.change());
			case StateFollowerEffect.StateComplete _ -> this.log.log(DaemonEvent.READY, this.follower.revision());
			case StateFollowerEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
		}
		if (!this.ready && this.follower.isComplete()) {
			this.ready = true;
			this.proxy.accept();
		}
	}

	private Consumer<StateFollowerInput> resultHandler() {
		long number = ++this.callNumber;
		return (result) -> this.control.execute(() -> {
			if (number == this.callNumber) {
				this.followerDriver.handle(result);
				reportRevision();
			}
		});
	}

	private void reportRevision() {
		long now = this.control.clock().milliseconds();
		this.peerTableDriver.handle(new PeerTableInput.RevisionConfirmed(this.follower.revision(),
				now - this.follower.confirmationAge(now), this.follower.steadySince()));
	}

	private void apply(StateChange change) {
		switch (change) {
			case StateChange.ServerWritten written ->
				this.balanceDriver.handle(new BalanceInput.ServerChanged(written.server()));
			case StateChange.ServerRemoved removed ->
				this.balanceDriver.handle(new BalanceInput.ServerRemoved(removed.server()));
			case StateChange.ConfigurationPublished configured -> {
				this.balanceDriver.handle(new BalanceInput.ConfigurationPublished(configured.configuration()));
				this.proxy.reconfigure(proxyConfiguration(configured.configuration().limits()));
				this.configuration = configured.configuration();
			}
		}
	}

	private void applyEffect(PeerTableEffect effect) {
		switch (effect) {
			case PeerTableEffect.Send send -> {
				PeerMessage message = send.message();
				long now = this.control.clock().milliseconds();
				this.datagrams.send(send.receiver(), (message.kind() == PeerMessage.Kind.HEARTBEAT)
						? message.withReports(this.coordinator.suspicionReports(now), this.coordinator.loads(now))
						: message);
			}
			case PeerTableEffect.FleetSizeChanged changed -> {
				this.balanceDriver.handle(new BalanceInput.FleetSizeChanged(changed.daemons()));
				this.proxy.setLiveDaemons(changed::daemons);
			}
			case PeerTableEffect.SuspicionReceived received ->
				this.balanceDriver.handle(new BalanceInput.SuspicionReceived(received.report()));
			case PeerTableEffect.LoadReceived load ->
				this.balanceDriver.handle(new BalanceInput.LoadReceived(load.peer(), load.loads()));
			case PeerTableEffect.ObservationReceived received ->
				this.balanceDriver.handle(new BalanceInput.ObservationReceived(received.observation()));
			case PeerTableEffect.PeerRevisionReceived peer -> {
				this.followerDriver
					.handle(new StateFollowerInput.PeerRevisionReceived(peer.revision(), peer.age(), peer.steadyFor()));
				reportRevision();
			}
			case PeerTableEffect.Logged logged -> this.log.log(logged.event(), logged.parameters().toArray());
		}
	}

	private void recordOutcome(BalanceEffect.RequestEnded ended) {
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
				MAX_BUFFERED_RESPONSE_BYTES, MAX_BUFFERED_MEMORY_BYTES);
		ProxyConfiguration.Timeouts chosenTimes = new ProxyConfiguration.Timeouts(limits.headTimeout(), times.body(),
				limits.idleTimeout(), times.request(), CONNECT_TIMEOUT_MS, BACKEND_IDLE_TIMEOUT_MS,
				NON_IDEMPOTENT_REUSE_MAX_AGE_MS, DRAIN_IDLE_TIMEOUT_MS, RETRY_AFTER_MS);
		return new ProxyConfiguration(this.settings.callers(), this.settings.name(),
				ProxyConfiguration.defaults(this.settings.callers()).callerConnections(), chosenSizes, chosenTimes,
				this.settings.headers());
	}

}
