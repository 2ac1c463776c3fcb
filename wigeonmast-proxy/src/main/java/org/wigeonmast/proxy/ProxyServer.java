package org.wigeonmast.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.proxy.internal.CallerInitializer;
import org.wigeonmast.proxy.internal.DrainSchedule;
import org.wigeonmast.proxy.internal.ProxyContext;
import org.wigeonmast.proxy.internal.ProxyMetrics;

/**
 * HTTP/1.1 reverse proxy that forwards requests of callers to backend servers, controlled
 * by commands of dispatch.
 * <p>
 * Usage: create it, set the number of live daemons, {@link #start()} it, pass each
 * {@link RequestEvent} to dispatch and each command of dispatch to
 * {@link #execute(ExchangeCommand)}; to stop, {@link #drain()}, wait for the future, then
 * {@link #close()}. The proxy makes no decisions about servers or retries: each request
 * reported with {@link RequestEvent.Accepted} waits until dispatch relays a response or
 * refuses.
 * <p>
 * Events of a request: {@code Accepted}; for each attempt either {@code NothingSent}, or
 * {@code Broken}, or {@code ResponseStarted} and after {@code Relay} either
 * {@code Completed} or {@code Broken}. {@code Completed}, {@code Broken} with a started
 * response, {@code CallerLeft} and the command {@code Refuse} end the request; nothing
 * follows them. After {@code Abort} an attempt reports nothing more, unless its response
 * was being relayed.
 * <p>
 * Thread safety: all methods can be called from any thread. The consumer of events is
 * called on the traffic thread and must neither block nor throw. One thread handles all
 * traffic, so exchanges and the backend pool need no locks.
 */
public final class ProxyServer implements AutoCloseable {

	private static final EventLog LOG = new EventLog(ProxyServer.class);

	private static final int BACKLOG = 1024;

	private static final long TIMEOUT_CHECK_INTERVAL_MS = 100;

	private static final long CLOSE_TIMEOUT_MS = 2000;

	private volatile ProxyConfiguration configuration;

	private final MillisecondClock clock;

	private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("wigeonmast-traffic"));

	private final EventLoop eventLoop = this.group.next();

	private final ProxyContext context;

	private volatile @Nullable Channel listener;

	private volatile IntSupplier liveDaemons = () -> 1;

	/**
	 * Creates a proxy that does not listen yet.
	 * @param configuration the configuration
	 * @param clock the clock, which must be the one that dispatch uses for deadlines
	 * @param manifests supplies the manifest in force, or {@code null} while there is
	 * none
	 * @param events consumes the events on the traffic thread
	 * @param metrics the registry for the metrics, whose names begin with {@code proxy.}
	 */
	public ProxyServer(ProxyConfiguration configuration, MillisecondClock clock, Supplier<@Nullable Manifest> manifests,
			Consumer<RequestEvent> events, MetricRegistry metrics) {
		this(configuration, clock, RequestRouter.byManifest(manifests), events, metrics);
	}

	/**
	 * Creates a proxy that does not listen yet.
	 * @param configuration the configuration
	 * @param clock the clock, which must be the one that dispatch uses for deadlines
	 * @param router finds the routes of requests
	 * @param events consumes the events on the traffic thread
	 * @param metrics the registry for the metrics, whose names begin with {@code proxy.}
	 */
	public ProxyServer(ProxyConfiguration configuration, MillisecondClock clock, RequestRouter router,
			Consumer<RequestEvent> events, MetricRegistry metrics) {
		this.configuration = configuration;
		this.clock = clock;
		this.context = new ProxyContext(configuration, clock, router, events, () -> this.liveDaemons.getAsInt(),
				this.eventLoop, new ProxyMetrics(metrics));
	}

	/**
	 * Sets the number of live daemons, among which the connections to a backend server
	 * are divided.
	 * @param liveDaemons supplies the number, at least 1
	 */
	public void setLiveDaemons(IntSupplier liveDaemons) {
		this.liveDaemons = liveDaemons;
	}

	/**
	 * Listens for callers and accepts their connections.
	 * @return the address on which it listens
	 * @throws ProxyStartException if the address cannot be bound
	 */
	public HostAddress start() throws ProxyStartException {
		HostAddress listening = listen();
		accept();
		return listening;
	}

	/**
	 * Starts to accept connections of callers, which wait in the accept queue until then.
	 */
	public void accept() {
		Channel bound = this.listener;
		if (bound != null) {
			bound.config().setAutoRead(true);
		}
	}

	/**
	 * Listens without accepting connections yet.
	 * @return the address on which it listens
	 * @throws ProxyStartException if the address cannot be bound
	 */
	public HostAddress listen() throws ProxyStartException {
		int unsentBytes = this.configuration.limits().unsentBytes();
		HostAddress address = this.configuration.bindAddress();
		try {
			Channel bound = new ServerBootstrap().group(this.group)
				.channel(NioServerSocketChannel.class)
				.option(ChannelOption.SO_BACKLOG, BACKLOG)
				.option(ChannelOption.SO_REUSEADDR, true)
				.option(ChannelOption.AUTO_READ, false)
				.childOption(ChannelOption.AUTO_READ, false)
				.childOption(ChannelOption.TCP_NODELAY, true)
				.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
						new WriteBufferWaterMark(unsentBytes / 2, unsentBytes))
				.childHandler(new CallerInitializer(this.context))
				.bind(address.address(), address.port())
				.syncUninterruptibly()
				.channel();
			this.listener = bound;
			this.eventLoop.scheduleAtFixedRate(this.context::checkTimeouts, TIMEOUT_CHECK_INTERVAL_MS,
					TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
			HostAddress listening = new HostAddress(address.address(),
					((InetSocketAddress) bound.localAddress()).getPort());
			LOG.log(ProxyEvent.LISTENING, listening);
			return listening;
		}
		catch (Exception exception) {
			throw new ProxyStartException(address, exception);
		}
	}

	/**
	 * Changes limits and timeouts, for requests that are accepted from now on.
	 * @param newConfiguration the configuration, with the same address
	 */
	public void reconfigure(ProxyConfiguration newConfiguration) {
		this.configuration = newConfiguration;
		this.eventLoop.execute(() -> this.context.reconfigure(newConfiguration));
	}

	/**
	 * Executes a command of dispatch. Commands for requests that have ended are ignored.
	 * @param command the command
	 */
	public void execute(ExchangeCommand command) {
		try {
			this.eventLoop.execute(() -> this.context.execute(command));
		}
		catch (RejectedExecutionException exception) {
			// The proxy was closed, which has ended every request.
			return;
		}
	}

	/**
	 * Finishes all requests and stops accepting connections once no new ones arrive. New
	 * requests are still served, with {@code Connection: close}. Readiness must have
	 * failed before, so that the load balancer opens no further connections.
	 * @return completes when all connections of callers are closed
	 */
	public CompletableFuture<Void> drain() {
		return drain(0, DrainSchedule.NO_LIMIT);
	}

	/**
	 * Drains as {@link #drain()} does, but accepts connections for a minimum time, in
	 * which a load balancer that was not notified earlier still opens some, and refuses
	 * requests that cannot be answered before the process ends.
	 * @param minAcceptingMs the minimum time in milliseconds
	 * @param limitMs the time in milliseconds after which the caller of this method ends
	 * whatever is in flight, {@link Long#MAX_VALUE} if it waits for all requests
	 * @return completes when all connections of callers are closed
	 */
	public CompletableFuture<Void> drain(long minAcceptingMs, long limitMs) {
		CompletableFuture<Void> drained = new CompletableFuture<>();
		DrainSchedule schedule = new DrainSchedule(this.clock.milliseconds(), minAcceptingMs, limitMs);
		this.eventLoop.execute(() -> this.context.drain(this::closeListener, drained, schedule));
		return drained;
	}

	/**
	 * Closes the connections of callers at the end of a drain that took too long.
	 * @return completes when they are closed
	 */
	public CompletableFuture<Void> closeCallers() {
		return CompletableFuture.runAsync(this.context::closeCallers, this.eventLoop);
	}

	/**
	 * Returns the number of requests that have not ended.
	 * @return the number
	 */
	public long requestsInFlight() {
		return this.context.requestsInFlight();
	}

	private void closeListener() {
		Channel bound = this.listener;
		if (bound != null) {
			bound.close();
		}
	}

	/** Closes all connections at once and stops the traffic thread. */
	@Override
	public void close() {
		closeListener();
		if (this.group.isShuttingDown()) {
			return;
		}
		this.eventLoop.execute(this.context::closeAll);
		this.group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

}
