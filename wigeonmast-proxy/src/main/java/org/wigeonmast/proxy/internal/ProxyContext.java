package org.wigeonmast.proxy.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.MillisecondClock;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyEvent;
import org.wigeonmast.proxy.RequestRouter;

/**
 * Shared state of the connections and exchanges of one proxy.
 * <p>
 * Thread safety: none; the traffic thread owns it.
 */
public final class ProxyContext {

	private static final EventLog LOG = new EventLog(ProxyContext.class);

	/** Time in milliseconds within which input that has arrived is read. */
	private static final long INPUT_GRACE_MS = 10;

	private ProxyConfiguration configuration;

	private final MillisecondClock clock;

	private final RequestRouter router;

	private final Consumer<RequestEvent> events;

	private final EventLoop eventLoop;

	private final ProxyMetrics metrics;

	private final BackendPool pool;

	private final RequestAdmission admission;

	private final Map<RequestId, Exchange> exchanges = new HashMap<>();

	private final Set<CallerConnection> callers = new HashSet<>();

	private final MemoryBudget requestMemory;

	private final MemoryBudget responseMemory;

	private @Nullable CompletableFuture<Void> drainFuture;

	private @Nullable DrainSchedule drainSchedule;

	private long lastConnectionMs;

	private @Nullable Runnable closeListener;

	/**
	 * Creates a context.
	 * @param configuration the configuration
	 * @param clock the clock
	 * @param router finds the routes of requests
	 * @param events consumes the events
	 * @param liveDaemons supplies the number of live daemons
	 * @param eventLoop the event loop of the traffic thread
	 * @param metrics the metrics
	 */
	public ProxyContext(ProxyConfiguration configuration, MillisecondClock clock, RequestRouter router,
			Consumer<RequestEvent> events, IntSupplier liveDaemons, EventLoop eventLoop, ProxyMetrics metrics) {
		this.metrics = metrics;
		this.configuration = configuration;
		this.clock = clock;
		this.router = router;
		this.events = events;
		this.eventLoop = eventLoop;
		this.pool = new BackendPool(this::configuration, clock, liveDaemons, eventLoop, metrics);
		this.admission = new RequestAdmission(this);
		this.requestMemory = new MemoryBudget(() -> this.configuration.limits().replayableBodyMemory(),
				metrics.heldRequestBytes());
		this.responseMemory = new MemoryBudget(() -> this.configuration.limits().heldResponseMemory(),
				metrics.heldResponseBytes());
	}

	/**
	 * Executes a command of dispatch. Commands for requests that have ended are ignored.
	 * @param command the command
	 */
	public void execute(ExchangeCommand command) {
		Exchange exchange = this.exchanges.get(command.request());
		if (exchange != null) {
			exchange.execute(command);
		}
	}

	/**
	 * Changes limits and timeouts; decoders of open connections keep their limits.
	 * @param newConfiguration the configuration, with the same address
	 */
	public void reconfigure(ProxyConfiguration newConfiguration) {
		this.configuration = newConfiguration;
	}

	/** Closes connections that are idle or too slow. */
	public void checkTimeouts() {
		long now = this.clock.milliseconds();
		for (CallerConnection caller : Set.copyOf(this.callers)) {
			caller.checkTimeouts(now);
		}
		this.pool.closeIdle(now);
		closeListenerWhenQuiet();
	}

	/**
	 * Starts to drain: connections close after their current or next response.
	 * @param closing closes the listener; called once no new connection has arrived for a
	 * while, because closing the listener resets the connections in its accept queue
	 * @param completion completes when the listener and all connections of callers are
	 * closed
	 * @param schedule how long connections are accepted and requests passed on
	 */
	public void drain(Runnable closing, CompletableFuture<Void> completion, DrainSchedule schedule) {
		if (this.drainFuture != null) {
			this.drainFuture.whenComplete((nothing, exception) -> completion.complete(null));
			return;
		}
		LOG.log(ProxyEvent.DRAINING, this.callers.size());
		this.drainFuture = completion;
		this.drainSchedule = schedule;
		this.closeListener = closing;
	}

	/**
	 * Closes the connections of callers at the end of a drain that took too long. What
	 * was written to them is still sent.
	 */
	public void closeCallers() {
		for (CallerConnection caller : Set.copyOf(this.callers)) {
			caller.closeUnanswered();
		}
	}

	/** Closes all connections at once. */
	public void closeAll() {
		for (CallerConnection caller : Set.copyOf(this.callers)) {
			caller.resetConnection();
		}
		this.pool.closeIdle();
	}

	private void closeListenerWhenQuiet() {
		if (endsAccepting()) {
			// Connections in the accept queue would be reset.
			afterArrivedInput(this::closeListener);
		}
	}

	private boolean endsAccepting() {
		return this.closeListener != null && this.drainSchedule != null
				&& this.drainSchedule.endsAccepting(this.clock.milliseconds(), this.lastConnectionMs);
	}

	private void closeListener() {
		Runnable closing = this.closeListener;
		if (closing != null && endsAccepting()) {
			this.closeListener = null;
			closing.run();
			completeDrain();
		}
	}

	/**
	 * Executes a task after input that has already arrived was read. After the traffic
	 * thread stood still, its timers run before it reads.
	 * @param task the task, which decides by what was read
	 * @return cancels the task
	 */
	ScheduledFuture<?> afterArrivedInput(Runnable task) {
		return this.eventLoop.schedule(task, INPUT_GRACE_MS, TimeUnit.MILLISECONDS);
	}

	private void completeDrain() {
		if (this.drainFuture != null && this.closeListener == null && this.callers.isEmpty()) {
			this.pool.closeIdle();
			if (this.drainFuture.complete(null)) {
				LOG.log(ProxyEvent.DRAINED);
			}
		}
	}

	boolean isDraining() {
		return this.drainSchedule != null;
	}

	/**
	 * Returns whether a request can be answered before a planned stop ends.
	 * @param head the head of the request
	 * @return whether it is passed on
	 */
	boolean admits(AdmittedHead head) {
		return this.drainSchedule == null
				|| this.drainSchedule.admits(this.clock.milliseconds(), head.deadline(), head.route().idempotent());
	}

	/**
	 * Returns the start time of the drain.
	 * @return the monotonic time in milliseconds
	 */
	long drainingSinceMs() {
		return (this.drainSchedule != null) ? this.drainSchedule.startedAt() : 0;
	}

	/**
	 * Returns the number of requests that have not ended. Can be called from any thread.
	 * @return the number
	 */
	public long requestsInFlight() {
		return this.metrics.inFlight();
	}

	ProxyMetrics metrics() {
		return this.metrics;
	}

	ProxyConfiguration configuration() {
		return this.configuration;
	}

	MillisecondClock clock() {
		return this.clock;
	}

	RequestRouter router() {
		return this.router;
	}

	EventLoop eventLoop() {
		return this.eventLoop;
	}

	BackendPool pool() {
		return this.pool;
	}

	RequestAdmission admission() {
		return this.admission;
	}

	void emit(RequestEvent event) {
		this.events.accept(event);
	}

	void addCaller(CallerConnection caller) {
		this.callers.add(caller);
		this.lastConnectionMs = this.clock.milliseconds();
		this.metrics.addCallerConnections(1);
	}

	void removeCaller(CallerConnection caller) {
		if (this.callers.remove(caller)) {
			this.metrics.addCallerConnections(-1);
		}
		completeDrain();
	}

	boolean isCallerLimitReached() {
		return this.callers.size() >= this.configuration.callerConnections();
	}

	void startExchange(RequestId id, Exchange exchange) {
		this.exchanges.put(id, exchange);
		this.metrics.recordRequestStarted();
	}

	void endExchange(RequestId id, ProxyMetrics.Outcome outcome) {
		if (this.exchanges.remove(id) != null) {
			this.metrics.recordRequestEnded(outcome);
		}
	}

	/**
	 * Returns the memory for buffered request bodies.
	 * @return the budget
	 */
	MemoryBudget requestMemory() {
		return this.requestMemory;
	}

	/**
	 * Returns the memory for buffered response bodies.
	 * @return the budget
	 */
	MemoryBudget responseMemory() {
		return this.responseMemory;
	}

}
