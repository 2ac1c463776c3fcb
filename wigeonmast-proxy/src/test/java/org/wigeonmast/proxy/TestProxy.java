package org.wigeonmast.proxy;

import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ConnectionRequirement;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.manifest.BackendServer;

/**
 * Proxy with a minimal dispatch, which sends each request to one server and refuses it
 * when the first attempt fails.
 * <p>
 * Thread safety: usable from any thread.
 */
final class TestProxy implements AutoCloseable {

	/** Header conventions of servers that repeat the identifier of the request. */
	static final HeaderConventions ECHOING_CONVENTIONS = new HeaderConventions("Try-Id", "Time-Left", null, null, null,
			"Not-Run", null, null, "For-Server", "Proof", true, false, true);

	static final int MAX_HELD_RESPONSE_BYTES = 1 << 20;

	static final int MAX_HELD_MEMORY_BYTES = 8 << 20;

	private static final long ROUTE_TIMEOUT_MS = 15_000;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ShiftedClock clock = new ShiftedClock();

	private final BlockingQueue<RequestEvent> events = new LinkedBlockingQueue<>();

	private final ProxyServer server;

	private final HostAddress address;

	private final BackendServer backend;

	private volatile ConnectionRequirement requirement = ConnectionRequirement.ANY;

	private volatile Function<RequestEvent.AttemptProgress, @Nullable ExchangeCommand> reaction = (progress) -> null;

	TestProxy(BackendServer backend) throws ProxyStartException {
		this(backend, UnaryOperator.identity());
	}

	TestProxy(BackendServer backend, UnaryOperator<ProxyConfiguration> change) throws ProxyStartException {
		this.backend = backend;
		ProxyConfiguration configuration = change.apply(ProxyConfiguration.defaults(new HostAddress("127.0.0.1", 0)));
		this.server = new ProxyServer(configuration, this.clock, () -> new FakeManifest(ROUTE_TIMEOUT_MS), this::handle,
				this.metrics);
		this.address = this.server.start();
	}

	/**
	 * Starts a proxy that buffers whole responses of servers that repeat the identifier
	 * of the request.
	 * @param backend the server
	 * @return the proxy
	 */
	static TestProxy holdingResponses(BackendServer backend) throws ProxyStartException {
		return new TestProxy(backend, (defaults) -> {
			ProxyConfiguration.Limits limits = defaults.limits();
			return new ProxyConfiguration(defaults.bindAddress(), defaults.daemonName(), defaults.callerConnections(),
					new ProxyConfiguration.Limits(limits.requestLine(), limits.headers(), limits.body(),
							limits.replayableBody(), limits.replayableBodyMemory(), limits.unsentBytes(),
							MAX_HELD_RESPONSE_BYTES, MAX_HELD_MEMORY_BYTES),
					defaults.timeouts(), ECHOING_CONVENTIONS);
		});
	}

	void setRequirement(ConnectionRequirement requirement) {
		this.requirement = requirement;
	}

	/**
	 * Advances the proxy's clock; timers of attempts are not affected.
	 * @param durationMs the time in milliseconds
	 */
	void advanceTime(long durationMs) {
		this.clock.shift.addAndGet(durationMs);
	}

	/** Stops the proxy's clock, so that only {@link #advanceTime(long)} moves it. */
	void freezeTime() {
		this.clock.frozen = this.clock.system.milliseconds();
	}

	long counter(String name) {
		return this.metrics.counter(name).getCount();
	}

	ProxyServer server() {
		return this.server;
	}

	RawConnection connect() throws Exception {
		return RawConnection.to(this.address);
	}

	/**
	 * Returns the next event of a type and discards others.
	 * @param type the type
	 * @return the event
	 */
	<T extends RequestEvent> T next(Class<T> type) throws InterruptedException {
		while (true) {
			RequestEvent event = Awaiting.next(this.events);
			if (type.isInstance(event)) {
				return type.cast(event);
			}
		}
	}

	/**
	 * Returns the next report of a type and discards other events.
	 * @param type the type
	 * @return the report
	 */
	<T extends AttemptReport> T nextReport(Class<T> type) throws InterruptedException {
		while (true) {
			AttemptReport report = next(RequestEvent.AttemptProgress.class).report();
			if (type.isInstance(report)) {
				return type.cast(report);
			}
		}
	}

	private void handle(RequestEvent event) {
		this.events.add(event);
		switch (event) {
			case RequestEvent.Accepted accepted ->
				this.server.execute(new ExchangeCommand.StartAttempt(accepted.request().id(), 1, this.backend,
						this.requirement, accepted.request().deadline()));
			case RequestEvent.AttemptProgress progress -> handle(progress);
			case RequestEvent.CallerLeft left -> {
			}
		}
	}

	/**
	 * Sets the reaction of dispatch to progress of an attempt.
	 * @param reaction returns the command, or {@code null} for the default one
	 */
	void setReaction(Function<RequestEvent.AttemptProgress, @Nullable ExchangeCommand> reaction) {
		this.reaction = reaction;
	}

	BackendServer backend() {
		return this.backend;
	}

	private void handle(RequestEvent.AttemptProgress progress) {
		ExchangeCommand command = this.reaction.apply(progress);
		if (command != null) {
			this.server.execute(command);
			return;
		}
		switch (progress.report()) {
			case AttemptReport.ResponseStarted started ->
				this.server.execute(new ExchangeCommand.Relay(progress.request(), progress.attempt()));
			case AttemptReport.NothingSent nothing -> this.server.execute(
					new ExchangeCommand.Refuse(progress.request(), new RequestOutcome.NotRun(nothing.reason(), 1500)));
			case AttemptReport.Broken broken -> this.server
				.execute(new ExchangeCommand.Refuse(progress.request(), new RequestOutcome.Unknown(broken.reason())));
			case AttemptReport.Completed completed -> {
			}
		}
	}

	@Override
	public void close() {
		this.server.close();
	}

	/** System clock that can be moved forward. */
	private static final class ShiftedClock implements MillisecondClock {

		private static final long RUNNING = -1;

		private final MillisecondClock system = MillisecondClock.system();

		private final AtomicLong shift = new AtomicLong();

		private volatile long frozen = RUNNING;

		@Override
		public long milliseconds() {
			long now = this.frozen;
			return ((now == RUNNING) ? this.system.milliseconds() : now) + this.shift.get();
		}

		@Override
		public Instant timeOfDay() {
			return this.system.timeOfDay();
		}

	}

}
