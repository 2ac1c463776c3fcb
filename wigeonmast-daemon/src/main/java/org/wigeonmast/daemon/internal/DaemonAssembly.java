package org.wigeonmast.daemon.internal;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.wigeonmast.core.AuditEntry;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.daemon.DaemonAddresses;
import org.wigeonmast.daemon.DaemonEvent;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.wire.LinkSettings;

/**
 * Creates the parts of a daemon, connects them, and stops them in order.
 * <p>
 * Thread safety: the public methods can be called from any thread; the parts run on the
 * control thread.
 */
public final class DaemonAssembly implements FleetListener, AutoCloseable {

	/** Algorithm of the random numbers that decide nothing secret. */
	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	/**
	 * Time in milliseconds between failing readiness and refusing connections, in which
	 * the platform's load balancer notices.
	 */
	private static final long READINESS_GRACE_MILLISECONDS = 2000;

	private final EventLog log = new EventLog(DaemonAssembly.class);

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final DaemonSettings settings;

	private final DaemonId self;

	private final ControlThread control;

	private final PeerMessenger messenger;

	private final FleetShell fleet;

	private final RequestShell requests;

	private volatile boolean ready;

	private volatile boolean stopping;

	/**
	 * Creates the parts and opens the listener for links.
	 * @param settings the settings
	 * @param clock the clock
	 * @throws WigeonmastException if the address for links cannot be bound
	 */
	public DaemonAssembly(DaemonSettings settings, MillisecondClock clock) throws WigeonmastException {
		this.settings = settings;
		// The time of day makes the incarnation higher than that of earlier starts on a
		// host without a disk.
		this.self = new DaemonId(settings.name(), clock.timeOfDay().toEpochMilli());
		this.control = new ControlThread(clock);
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(new SecureRandom().nextLong());
		this.messenger = new PeerMessenger(this.control,
				new LinkSettings(this.self, settings.peers().address(), settings.peers().key()));
		this.fleet = new FleetShell(this.control, settings, this.self, this.messenger, random, this::audit, this);
		this.requests = new RequestShell(this.control, settings, this.self, random, this::audit);
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @return the addresses
	 * @throws WigeonmastException if an address cannot be bound
	 */
	public DaemonAddresses start() throws WigeonmastException {
		HostAddress callers = this.requests.start();
		this.control.execute(this.fleet::start);
		DaemonAddresses addresses = new DaemonAddresses(callers, this.messenger.address());
		this.log.log(DaemonEvent.STARTED, this.self, addresses.callers(), addresses.peers(), this.settings.admin());
		return addresses;
	}

	/**
	 * Returns whether the daemon is ready to serve.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.ready && !this.stopping;
	}

	/**
	 * Stops gracefully.
	 * @return completes when the daemon has stopped
	 */
	public CompletableFuture<Void> stop() {
		this.control.execute(this::beginStop);
		return this.stopped;
	}

	@Override
	public void close() {
		this.requests.close();
		this.messenger.close();
		this.control.close();
	}

	@Override
	public void membersChanged() {
		this.requests.setLiveDaemons(this.fleet.live().size());
	}

	@Override
	public void manifestApplied(Manifest manifest) {
		this.requests.apply(manifest);
	}

	@Override
	public void readinessChanged(boolean isReady) {
		this.ready = isReady;
		if (isReady) {
			this.log.log(DaemonEvent.READY, this.fleet.inForce().version());
		}
		else {
			this.log.log(DaemonEvent.NOT_READY, "peers have to confirm the manifest in force");
		}
	}

	@Override
	public void resumed() {
		// Components without a rule for pauses need nothing here.
	}

	private void beginStop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.log.log(DaemonEvent.STOPPING, this.requests.active());
		this.fleet.leave();
		this.control.schedule(READINESS_GRACE_MILLISECONDS,
				() -> this.requests.drain().whenComplete((ignored, failure) -> this.control.execute(this::endStop)));
	}

	private void endStop() {
		this.fleet.close();
		this.requests.close();
		this.messenger.close();
		this.log.log(DaemonEvent.STOPPED);
		this.stopped.complete(null);
	}

	private void audit(AuditEntry entry) {
		// The audit trail is connected with the operators' interface.
	}

}
