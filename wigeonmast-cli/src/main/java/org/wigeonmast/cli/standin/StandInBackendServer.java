package org.wigeonmast.cli.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonmast.core.HostAddress;

/**
 * Backend server on the loopback address with a limited number of slots, a bounded queue
 * and faults that can be changed while it runs.
 * <p>
 * Thread safety: usable from any thread. Invariants: at most as many requests run at once
 * as there are slots; a request whose connection closes is cancelled; each started
 * request is recorded, and a response carries the identifier of its request.
 * {@code GET /health} always reports a healthy server, as the health endpoint of a server
 * with a gray failure does.
 */
public final class StandInBackendServer implements AutoCloseable {

	/** Header with the identifier of a request; the response repeats it. */
	public static final String REQUEST_ID_HEADER = "X-Request-Id";

	/** Response header with the name of the server. */
	public static final String SERVER_HEADER = "X-Server";

	/** Response header that states that a refused request was not run. */
	public static final String REQUEST_EXECUTION_HEADER = "Request-Execution";

	/** Value of {@link #REQUEST_EXECUTION_HEADER} for a request that was not run. */
	public static final String NOT_RUN = "not-run";

	/** Response header that announces that the server is leaving. */
	public static final String SERVER_STATE_HEADER = "Server-State";

	/** Value of {@link #SERVER_STATE_HEADER} for a server that is leaving. */
	public static final String LEAVING = "leaving";

	private static final String HEALTH_PATH = "/health";

	private static final RequestProfile DEFAULT_PROFILE = new RequestProfile("/", 5, 64);

	/**
	 * Greatest relative deviation of a service time from its mean, in both directions.
	 */
	private static final double SERVICE_TIME_VARIATION = 0.2;

	private final String name;

	private final int slots;

	private final int queueLimit;

	private final List<RequestProfile> profiles;

	private final Random random;

	private final LoopbackServer server;

	private final Set<ServerRequest> runningRequests = new LinkedHashSet<>();

	private final Deque<ServerRequest> waitingRequests = new ArrayDeque<>();

	private final List<String> startedRequests = new CopyOnWriteArrayList<>();

	private volatile ServerFaults faults = ServerFaults.none();

	/**
	 * Starts a server on a free port.
	 * @param name the name of the server in its responses
	 * @param slots the maximum number of requests that run at once
	 * @param queueLimit the maximum number of waiting requests; further ones are refused
	 * @param profiles the request profiles; the one with the longest matching path prefix
	 * applies
	 * @param seed the seed of the random service times and failures
	 * @throws InterruptedException if the thread is interrupted
	 */
	public StandInBackendServer(String name, int slots, int queueLimit, List<RequestProfile> profiles, long seed)
			throws InterruptedException {
		this.name = name;
		this.slots = slots;
		this.queueLimit = queueLimit;
		this.profiles = List.copyOf(profiles);
		this.random = new Random(seed);
		this.server = new LoopbackServer(name, 0, Handler::new);
	}

	/**
	 * Returns the address on which the server accepts connections.
	 * @return the address
	 */
	public HostAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the name of the server in its responses.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the current faults.
	 * @return the faults
	 */
	public ServerFaults faults() {
		return this.faults;
	}

	/**
	 * Sets the faults. They apply to requests that start or finish from now on.
	 * @param newFaults the faults
	 */
	public void setFaults(ServerFaults newFaults) {
		this.faults = newFaults;
	}

	/**
	 * Returns the identifiers of all requests that were started, in order.
	 * @return a copy
	 */
	public List<String> startedRequests() {
		return new ArrayList<>(this.startedRequests);
	}

	/**
	 * Closes all open connections, as a crash does. New connections are still accepted.
	 */
	public void closeConnections() {
		this.server.closeConnections();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handleRequest(ChannelHandlerContext context, FullHttpRequest request) {
		String path = request.uri();
		if (path.equals(HEALTH_PATH)) {
			Responses.send(context, Responses.createText(HttpResponseStatus.OK, "healthy"));
			return;
		}
		String requestId = request.headers().get(REQUEST_ID_HEADER, "");
		ServerRequest serverRequest = new ServerRequest(context, requestId, findProfile(path));
		if (this.faults.leaving() || this.faults.shedding()) {
			refuse(serverRequest);
		}
		else if (this.runningRequests.size() < this.slots) {
			start(serverRequest);
		}
		else if (this.waitingRequests.size() < this.queueLimit) {
			this.waitingRequests.add(serverRequest);
		}
		else {
			refuse(serverRequest);
		}
	}

	private RequestProfile findProfile(String path) {
		RequestProfile longestMatch = DEFAULT_PROFILE;
		for (RequestProfile profile : this.profiles) {
			if (path.startsWith(profile.pathPrefix())
					&& profile.pathPrefix().length() >= longestMatch.pathPrefix().length()) {
				longestMatch = profile;
			}
		}
		return longestMatch;
	}

	private void refuse(ServerRequest request) {
		FullHttpResponse response = Responses.createText(HttpResponseStatus.SERVICE_UNAVAILABLE,
				"refused by " + this.name);
		response.headers().set(REQUEST_EXECUTION_HEADER, NOT_RUN);
		respond(request, response);
	}

	private void start(ServerRequest request) {
		this.runningRequests.add(request);
		this.startedRequests.add(request.requestId());
		double variation = 1 + SERVICE_TIME_VARIATION * (2 * this.random.nextDouble() - 1);
		long microseconds = Math.round(
				TimeUnit.MILLISECONDS.toMicros(request.profile().serviceTimeMs()) * this.faults.slowdown() * variation);
		request.setTimer(this.server.executor().schedule(() -> finish(request), microseconds, TimeUnit.MICROSECONDS));
	}

	private void finish(ServerRequest request) {
		if (!this.runningRequests.remove(request)) {
			return;
		}
		startNext();
		if (this.faults.silent()) {
			return;
		}
		boolean failing = this.random.nextDouble() < this.faults.failureShare();
		if (failing) {
			respond(request, Responses.createText(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed at " + this.name));
		}
		else if (this.faults.truncating()) {
			respondTruncated(request);
		}
		else {
			respond(request, Responses.create(HttpResponseStatus.OK, ResponseBody.of(request)));
		}
	}

	private void startNext() {
		ServerRequest next = this.waitingRequests.poll();
		if (next != null) {
			start(next);
		}
	}

	private void respond(ServerRequest request, FullHttpResponse response) {
		response.headers().set(REQUEST_ID_HEADER, request.requestId()).set(SERVER_HEADER, this.name);
		if (this.faults.leaving()) {
			response.headers()
				.set(SERVER_STATE_HEADER, LEAVING)
				.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		Responses.send(request.context(), response);
	}

	private void respondTruncated(ServerRequest request) {
		byte[] body = ResponseBody.of(request);
		DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length).set(REQUEST_ID_HEADER, request.requestId());
		request.context().write(head);
		request.context()
			.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, body.length / 2)))
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void cancel(ChannelHandlerContext context) {
		this.waitingRequests.removeIf((request) -> request.context() == context);
		for (ServerRequest request : List.copyOf(this.runningRequests)) {
			if (request.context() == context) {
				request.cancelTimer();
				this.runningRequests.remove(request);
				startNext();
			}
		}
	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			handleRequest(context, request);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			cancel(context);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
