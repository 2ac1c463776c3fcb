package org.wigeonmast.daemon.internal;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.admin.AdminServer;
import org.wigeonmast.admin.AdminSources;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.DaemonAddresses;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.manifest.store.ConfigurationStoreClient;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyServer;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.LimitSettings;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.PeerLinks;
import org.wigeonmast.wire.Slice;

/**
 * Assembly of a daemon. Connects the components to the links, the proxy, the
 * configuration store and the admin interface, and shuts them down in order.
 * <p>
 * Thread safety: usable from any thread.
 */
public final class DaemonAssembly implements AutoCloseable {

	/** Algorithm of the random numbers, which are not used for secrets. */
	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	/**
	 * Time between failing readiness and refusing connections, in which the platform's
	 * load balancer detects the change.
	 */
	private static final long READINESS_GRACE_MS = 2000;

	private final EventLog log = new EventLog(DaemonAssembly.class);

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean closed = new AtomicBoolean();

	private final MetricRegistry metrics = new MetricRegistry();

	private final BackendProber prober = new BackendProber();

	private final DaemonSettings settings;

	private final DaemonId self;

	private final ControlThread control;

	private final PeerLinks links;

	private final ConfigurationStoreClient store;

	private final ProxyServer proxy;

	private final DaemonCore core;

	private volatile @Nullable AdminServer admin;

	private volatile boolean started;

	/**
	 * Creates the components and opens the listener for links.
	 * @param settings the settings
	 * @param clock the clock
	 * @throws WigeonmastException if the address for links cannot be bound
	 */
	public DaemonAssembly(DaemonSettings settings, MillisecondClock clock) throws WigeonmastException {
		this.settings = settings;
		// The time of day makes the incarnation higher than those of earlier starts
		// on a host without a disk, which cannot store it.
		this.self = new DaemonId(settings.name(), clock.timeOfDay().toEpochMilli());
		this.control = new ControlThread(clock);
		this.links = PeerLinks.open(new LinkSettings(this.self, settings.peers().address(), settings.peers().key()),
				this::receive);
		this.store = new ConfigurationStoreClient(settings.store().baseUrl(), settings.store().callTimeout(),
				settings.store().watchWait());
		this.proxy = new ProxyServer(proxyConfiguration(settings), clock, () -> core().routingManifest(),
				(event) -> core().onRequestEvent(event), this.metrics);
		this.core = new DaemonCore(this.control, settings, this.self,
				new DaemonCore.Ports(new LinkTransport(this.links), new ClientStoreCalls(this.store),
						this.proxy::execute, this.prober),
				RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(new SecureRandom().nextLong()));
		this.proxy.setLiveDaemons(this.core::liveDaemons);
	}

	/**
	 * Starts listening and joins the fleet.
	 * @return the addresses that were bound
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public DaemonAddresses start() throws WigeonmastException {
		AdminServer operators = new AdminServer(this.settings.admin(), new AdminSources(this.core::readiness,
				this.core.operators()::status, this.core.operators()::explain, this.core.trail(), this.metrics));
		this.admin = operators;
		HostAddress callers = this.proxy.start();
		this.started = true;
		this.control.execute(this.core::start);
		DaemonAddresses addresses = new DaemonAddresses(callers, this.links.address(), operators.address());
		this.log.log(DaemonEvent.STARTED, this.self, addresses.callers(), addresses.peers(), addresses.operators());
		return addresses;
	}

	/**
	 * Returns whether the daemon is ready to serve.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.core.readiness().ready();
	}

	/**
	 * Returns whether an ejection of a backend server is in force at this daemon.
	 * @param server the backend server
	 * @return whether it is ejected
	 */
	public boolean isEjected(BackendServerId server) {
		return this.core.isEjected(server);
	}

	/**
	 * Stops gracefully.
	 * @return a future that completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		if (this.stopping.compareAndSet(false, true)) {
			this.control.execute(this.core::leave);
			this.control.schedule(READINESS_GRACE_MS, () -> this.proxy.drain()
				.whenComplete((ignored, failure) -> this.control.execute(this::completeStop)));
		}
		return this.stopped;
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			AdminServer operators = this.admin;
			if (operators != null) {
				operators.close();
			}
			this.proxy.close();
			this.prober.close();
			this.store.close();
			this.links.close();
			this.control.close();
		}
	}

	private void completeStop() {
		this.core.stop();
		close();
		this.log.log(DaemonEvent.STOPPED);
		this.stopped.complete(null);
	}

	// The links and the proxy are created before the core, which depends on them, and
	// access the core only after it is created.
	private DaemonCore core() {
		return this.core;
	}

	private void receive(DaemonId from, HostAddress address, Slice slice, byte[] content) {
		// Messages that arrive before the start are dropped, as if the link were broken.
		if (this.started) {
			this.core.receive(from, address, slice, content);
		}
	}

	private static ProxyConfiguration proxyConfiguration(DaemonSettings settings) {
		LimitSettings chosen = settings.limits();
		ProxyConfiguration.Limits sizes = ProxyConfiguration.Limits.DEFAULTS;
		ProxyConfiguration.Timeouts times = ProxyConfiguration.Timeouts.DEFAULTS;
		return new ProxyConfiguration(settings.callers(), settings.name(), chosen.callerConnections(),
				new ProxyConfiguration.Limits(sizes.requestLine(), chosen.headSize(), sizes.body(),
						chosen.replayBodySize(), sizes.replayableBodyMemory(), sizes.unsentBytes()),
				new ProxyConfiguration.Timeouts(chosen.headTimeout(), chosen.bodyTimeout(), chosen.idleTimeout(),
						times.request(), times.connect(), times.backendIdle(), times.proven(), times.drainIdle(),
						times.retryAfter()));
	}

}
