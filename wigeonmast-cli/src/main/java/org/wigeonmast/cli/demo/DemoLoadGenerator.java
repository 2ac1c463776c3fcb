package org.wigeonmast.cli.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.wigeonmast.cli.demo.DemoFleet.DemoDaemon;
import org.wigeonmast.cli.demo.DemoRequest.Result;
import org.wigeonmast.cli.standin.ResponseBody;
import org.wigeonmast.cli.standin.StandInBackendServer;
import org.wigeonmast.core.MillisecondClock;

/**
 * Open-loop load generator: sends requests at a constant rate, whether or not earlier
 * ones have completed, to the ready daemons in round-robin order.
 * <p>
 * Thread safety: usable from any thread.
 */
final class DemoLoadGenerator implements AutoCloseable {

	private static final long REQUESTS_PER_SECOND = 60;

	/** One in this many requests is non-idempotent. */
	private static final int NON_IDEMPOTENT_INTERVAL = 5;

	private static final int MAX_CONCURRENT_REQUESTS = 256;

	private static final long CALL_TIMEOUT_MS = 5_000;

	private static final int RESPONSE_SIZE_BYTES = 2_000;

	private static final int STATUS_OK = 200;

	private final MillisecondClock clock = MillisecondClock.system();

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("demo-load").daemon().factory());

	private final Queue<DemoRequest> completedRequests = new ConcurrentLinkedQueue<>();

	private final AtomicInteger sentCount = new AtomicInteger();

	private final List<DemoDaemon> daemons;

	private final OkHttpClient client;

	DemoLoadGenerator(List<DemoDaemon> daemons) {
		this.daemons = daemons;
		Dispatcher dispatcher = new Dispatcher(
				Executors.newCachedThreadPool(Thread.ofPlatform().name("demo-caller-", 0).daemon().factory()));
		dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.retryOnConnectionFailure(false)
			.callTimeout(Duration.ofMillis(CALL_TIMEOUT_MS))
			.build();
	}

	void start() {
		this.timer.scheduleAtFixedRate(this::send, 0, TimeUnit.SECONDS.toMicros(1) / REQUESTS_PER_SECOND,
				TimeUnit.MICROSECONDS);
	}

	/**
	 * Stops sending and waits until all requests have completed.
	 */
	void finish() throws InterruptedException {
		this.timer.shutdown();
		this.timer.awaitTermination(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		this.client.dispatcher().executorService().shutdown();
		this.client.dispatcher().executorService().awaitTermination(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	int sentCount() {
		return this.sentCount.get();
	}

	List<DemoRequest> completedRequests() {
		return List.copyOf(this.completedRequests);
	}

	/**
	 * Sends a GET request to a daemon.
	 * @param daemon the daemon
	 * @param path the path
	 * @return the status code, 0 if there is no response
	 */
	int probe(DemoDaemon daemon, String path) {
		try (Response response = this.client
			.newCall(new Request.Builder().url("http://" + daemon.callerAddress() + path).build())
			.execute()) {
			return response.code();
		}
		catch (IOException exception) {
			return 0;
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdown();
	}

	private void send() {
		List<DemoDaemon> ready = this.daemons.stream().filter((daemon) -> daemon.daemon().isReady()).toList();
		if (ready.isEmpty()) {
			return;
		}
		int number = this.sentCount.incrementAndGet();
		String id = "request-" + number;
		boolean idempotent = number % NON_IDEMPOTENT_INTERVAL != 0;
		DemoDaemon daemon = ready.get(number % ready.size());
		Request.Builder request = new Request.Builder()
			.url("http://" + daemon.callerAddress() + (idempotent ? DemoManifest.BOARD_PATH : DemoManifest.CLAIMS_PATH))
			.header(StandInBackendServer.REQUEST_ID_HEADER, id)
			.header("Caller-Id", "kitchen-" + number % 3);
		if (!idempotent) {
			request.post(RequestBody.create(new byte[0], null))
				.header("Idempotency-Key", id)
				.header("Request-Attempt", "1");
		}
		this.client.newCall(request.build()).enqueue(new ResponseHandler(id, idempotent, this.clock.milliseconds()));
	}

	private final class ResponseHandler implements Callback {

		private final String id;

		private final boolean idempotent;

		private final long startMs;

		private ResponseHandler(String id, boolean idempotent, long start) {
			this.id = id;
			this.idempotent = idempotent;
			this.startMs = start;
		}

		@Override
		public void onFailure(Call call, IOException exception) {
			recordResult(Result.BROKEN, String.valueOf(exception.getMessage()));
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				byte[] body = response.body().bytes();
				if (response.header(StandInBackendServer.SERVER_HEADER) != null) {
					recordServerResponse(response, body);
				}
				else {
					String text = new String(body, StandardCharsets.UTF_8);
					recordResult(classifyRefusal(text), response.code() + " " + text);
				}
			}
			catch (IOException exception) {
				recordResult(Result.BROKEN, String.valueOf(exception.getMessage()));
			}
		}

		private Result classifyRefusal(String problem) {
			if (problem.contains("\"not-run\"")) {
				return Result.NOT_RUN;
			}
			return problem.contains("\"unknown\"") ? Result.UNKNOWN : Result.BROKEN;
		}

		private void recordServerResponse(Response response, byte[] body) {
			boolean matchesRequest = this.id.equals(response.header(StandInBackendServer.REQUEST_ID_HEADER));
			if (response.code() != STATUS_OK) {
				recordResult(matchesRequest ? Result.FAILED : Result.FOREIGN, "status " + response.code());
			}
			else {
				boolean complete = Arrays.equals(body, ResponseBody.of(this.id, RESPONSE_SIZE_BYTES));
				recordResult((matchesRequest && complete) ? Result.ANSWERED : Result.FOREIGN, "");
			}
		}

		private void recordResult(Result result, String detail) {
			long duration = DemoLoadGenerator.this.clock.milliseconds() - this.startMs;
			DemoLoadGenerator.this.completedRequests
				.add(new DemoRequest(this.id, this.idempotent, this.startMs, duration, result, detail));
		}

	}

}
