package org.wigeonmast.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Simulated backend server in virtual time with slots, a bounded queue and configurable
 * faults.
 * <p>
 * Thread safety: none. Invariant: at most as many requests run at once as there are
 * slots; each run is recorded in {@link #startedRequests()}.
 */
public final class FakeBackendServer {

	private final EventQueue queue;

	private final RandomGenerator random;

	private final int slots;

	private final int queueLimit;

	private final Deque<ServerRequest> waitingRequests = new ArrayDeque<>();

	private final Map<String, ServerRequest> runningRequests = new HashMap<>();

	private final List<String> startedRequests = new ArrayList<>();

	private Consumer<String> startListener = (request) -> {
	};

	private double slowdown = 1;

	private double failureShare;

	private boolean silent;

	/**
	 * Creates a server.
	 * @param queue the event queue
	 * @param random the source of random failures
	 * @param slots the maximum number of requests that run at once
	 * @param queueLimit the maximum number of waiting requests; further ones are shed
	 */
	public FakeBackendServer(EventQueue queue, RandomGenerator random, int slots, int queueLimit) {
		this.queue = queue;
		this.random = random;
		this.slots = slots;
		this.queueLimit = queueLimit;
	}

	/**
	 * Sets the factor on the service time.
	 * @param slowdown the factor, 1 for a healthy server
	 */
	public void setSlowdown(double slowdown) {
		this.slowdown = slowdown;
	}

	/**
	 * Sets the share of requests that run and fail.
	 * @param failureShare the share, 0 to 1
	 */
	public void setFailureShare(double failureShare) {
		this.failureShare = failureShare;
	}

	/**
	 * Sets whether the server runs requests without reporting their results.
	 * @param silent whether results are withheld
	 */
	public void setSilent(boolean silent) {
		this.silent = silent;
	}

	/**
	 * Sets the listener that is called when a request starts to run.
	 * @param listener receives the identifier of the request
	 */
	public void setStartListener(Consumer<String> listener) {
		this.startListener = listener;
	}

	/**
	 * Returns the identifiers of all requests that were started, in order.
	 * @return the identifiers
	 */
	public List<String> startedRequests() {
		return this.startedRequests;
	}

	/**
	 * Returns the number of running and waiting requests.
	 * @return the number of requests
	 */
	public int requestCount() {
		return this.runningRequests.size() + this.waitingRequests.size();
	}

	/**
	 * Submits a request.
	 * @param request the identifier
	 * @param serviceTimeMicros the service time of a healthy server in microseconds
	 * @param resultListener receives the result
	 */
	public void submit(String request, long serviceTimeMicros, Consumer<Result> resultListener) {
		ServerRequest work = new ServerRequest(request, serviceTimeMicros, resultListener);
		if (this.runningRequests.size() < this.slots) {
			start(work);
		}
		else if (this.waitingRequests.size() < this.queueLimit) {
			this.waitingRequests.add(work);
		}
		else {
			resultListener.accept(Result.SHED);
		}
	}

	/**
	 * Cancels a request. A waiting request is removed, a running one frees its slot
	 * immediately.
	 * @param request the identifier
	 */
	public void cancel(String request) {
		this.waitingRequests.removeIf((work) -> work.request.equals(request));
		if (this.runningRequests.remove(request) != null) {
			startNext();
		}
	}

	private void start(ServerRequest work) {
		this.runningRequests.put(work.request, work);
		this.startedRequests.add(work.request);
		this.startListener.accept(work.request);
		this.queue.schedule((long) (work.serviceTimeMicros * this.slowdown), () -> finish(work));
	}

	private void finish(ServerRequest work) {
		if (!this.runningRequests.remove(work.request, work)) {
			return;
		}
		startNext();
		if (!this.silent) {
			boolean failed = this.random.nextDouble() < this.failureShare;
			work.resultListener.accept(failed ? Result.FAILED : Result.SUCCEEDED);
		}
	}

	private void startNext() {
		ServerRequest next = this.waitingRequests.poll();
		if (next != null) {
			start(next);
		}
	}

	/** Result of a request. */
	public enum Result {

		/** The request ran and succeeded. */
		SUCCEEDED,

		/** The request ran and failed. */
		FAILED,

		/** The request was refused without being run. */
		SHED

	}

	private static final class ServerRequest {

		private final String request;

		private final long serviceTimeMicros;

		private final Consumer<Result> resultListener;

		private ServerRequest(String request, long duration, Consumer<Result> reply) {
			this.request = request;
			this.serviceTimeMicros = duration;
			this.resultListener = reply;
		}

	}

}
