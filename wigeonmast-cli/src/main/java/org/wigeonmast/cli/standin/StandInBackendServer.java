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
 * Backend server on the loopback address with slots, a queue and faults that can be
 * switched while it runs.
 * <p>
 * Thread safety: usable from any thread. Invariants: at most as many requests run at once
 * as there are slots; a request whose connection closes is cancelled; each run is
 * recorded, and an answer names the request that it belongs to. {@code GET /health}
 * always reports a healthy server, as the endpoints of gray servers do.
 */
public final class StandInBackendServer implements AutoCloseable {

	/** Header by which a request names itself; the answer repeats it. */
	public static final String REQUEST_ID_HEADER = "X-Request-Id";

	/** Header of an answer that names the server. */
	public static final String SERVER_HEADER = "X-Server";

	/** Header that says that a refused request was not run. */
	public static final String REQUEST_EXECUTION_HEADER = "Request-Execution";

	/** Value of {@link #REQUEST_EXECUTION_HEADER}. */
	public static final String NOT_RUN = "not-run";

	/** Header that says that the server leaves. */
	public static final String SERVER_STATE_HEADER = "Server-State";

	/** Value of {@link #SERVER_STATE_HEADER}. */
	public static final String LEAVING = "leaving";

	private static final String HEALTH_PATH = "/health";

	private static final RequestProfile DEFAULT_PROFILE = new RequestProfile("/", 5, 64);

	/** Service times vary by this share to both sides. */
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
	 * @param name the name that answers carry
	 * @param slots the number of requests that run at once
	 * @param queueLimit the number of requests that wait before further ones are shed
	 * @param profiles the work by path; the longest prefix applies
	 * @param seed the seed of the random numbers
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
	 * Returns where the server accepts connections.
	 * @return the address
	 */
	public HostAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the name that answers carry.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the faults in force.
	 * @return the faults
	 */
	public ServerFaults faults() {
		return this.faults;
	}

	/**
	 * Switches faults for the work that starts or ends from now on.
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
	 * Closes all open connections, as a crash does; new ones are accepted.
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
		String id = request.headers().get(REQUEST_ID_HEADER, "");
		ServerRequest work = new ServerRequest(context, id, findProfile(path));
		if (this.faults.leaving() || this.faults.shedding()) {
			refuse(work);
		}
		else if (this.runningRequests.size() < this.slots) {
			start(work);
		}
		else if (this.waitingRequests.size() < this.queueLimit) {
			this.waitingRequests.add(work);
		}
		else {
			refuse(work);
		}
	}

	private RequestProfile findProfile(String path) {
		RequestProfile best = DEFAULT_PROFILE;
		for (RequestProfile profile : this.profiles) {
			if (path.startsWith(profile.pathPrefix()) && profile.pathPrefix().length() >= best.pathPrefix().length()) {
				best = profile;
			}
		}
		return best;
	}

	private void refuse(ServerRequest work) {
		FullHttpResponse response = Responses.createText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused by " + this.name);
		response.headers().set(REQUEST_EXECUTION_HEADER, NOT_RUN);
		respond(work, response);
	}

	private void start(ServerRequest work) {
		this.runningRequests.add(work);
		this.startedRequests.add(work.requestId());
		double variation = 1 + SERVICE_TIME_VARIATION * (2 * this.random.nextDouble() - 1);
		long microseconds = Math
			.round(TimeUnit.MILLISECONDS.toMicros(work.profile().serviceTimeMs()) * this.faults.slowdown() * variation);
		work.setTimer(this.server.executor().schedule(() -> finish(work), microseconds, TimeUnit.MICROSECONDS));
	}

	private void finish(ServerRequest work) {
		if (!this.runningRequests.remove(work)) {
			return;
		}
		startNext();
		if (this.faults.silent()) {
			return;
		}
		boolean failing = this.random.nextDouble() < this.faults.failureShare();
		if (failing) {
			respond(work, Responses.createText(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed at " + this.name));
		}
		else if (this.faults.truncating()) {
			respondTruncated(work);
		}
		else {
			respond(work, Responses.create(HttpResponseStatus.OK, ResponseBody.of(work)));
		}
	}

	private void startNext() {
		ServerRequest next = this.waitingRequests.poll();
		if (next != null) {
			start(next);
		}
	}

	private void respond(ServerRequest work, FullHttpResponse response) {
		response.headers().set(REQUEST_ID_HEADER, work.requestId()).set(SERVER_HEADER, this.name);
		if (this.faults.leaving()) {
			response.headers().set(SERVER_STATE_HEADER, LEAVING).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		Responses.send(work.context(), response);
	}

	private void respondTruncated(ServerRequest work) {
		byte[] body = ResponseBody.of(work);
		DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length).set(REQUEST_ID_HEADER, work.requestId());
		work.context().write(head);
		work.context()
			.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, body.length / 2)))
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void cancel(ChannelHandlerContext context) {
		this.waitingRequests.removeIf((work) -> work.context() == context);
		for (ServerRequest work : List.copyOf(this.runningRequests)) {
			if (work.context() == context) {
				work.cancelTimer();
				this.runningRequests.remove(work);
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
