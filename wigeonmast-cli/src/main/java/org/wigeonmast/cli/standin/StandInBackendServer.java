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
	public static final String REQUEST_ID = "X-Request-Id";

	/** Header of an answer that names the server. */
	public static final String SERVER = "X-Server";

	/** Header that says that a refused request was not run. */
	public static final String REQUEST_EXECUTION = "Request-Execution";

	/** Value of {@link #REQUEST_EXECUTION}. */
	public static final String NOT_RUN = "not-run";

	/** Header that says that the server leaves. */
	public static final String SERVER_STATE = "Server-State";

	/** Value of {@link #SERVER_STATE}. */
	public static final String LEAVING = "leaving";

	private static final String HEALTH_PATH = "/health";

	private static final WorkProfile DEFAULT_PROFILE = new WorkProfile("/", 5, 64);

	/** Service times vary by this share to both sides. */
	private static final double VARIATION = 0.2;

	private final String name;

	private final int slots;

	private final int queueLimit;

	private final List<WorkProfile> profiles;

	private final Random random;

	private final LoopbackServer server;

	private final Set<ServerWork> running = new LinkedHashSet<>();

	private final Deque<ServerWork> waiting = new ArrayDeque<>();

	private final List<String> runs = new CopyOnWriteArrayList<>();

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
	public StandInBackendServer(String name, int slots, int queueLimit, List<WorkProfile> profiles, long seed)
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
	public List<String> runs() {
		return new ArrayList<>(this.runs);
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

	private void receive(ChannelHandlerContext context, FullHttpRequest request) {
		String path = request.uri();
		if (path.equals(HEALTH_PATH)) {
			Responses.send(context, Responses.text(HttpResponseStatus.OK, "healthy"));
			return;
		}
		String id = request.headers().get(REQUEST_ID, "");
		ServerWork work = new ServerWork(context, id, profile(path));
		if (this.faults.leaving() || this.faults.shedding()) {
			refuse(work);
		}
		else if (this.running.size() < this.slots) {
			start(work);
		}
		else if (this.waiting.size() < this.queueLimit) {
			this.waiting.add(work);
		}
		else {
			refuse(work);
		}
	}

	private WorkProfile profile(String path) {
		WorkProfile best = DEFAULT_PROFILE;
		for (WorkProfile profile : this.profiles) {
			if (path.startsWith(profile.pathPrefix()) && profile.pathPrefix().length() >= best.pathPrefix().length()) {
				best = profile;
			}
		}
		return best;
	}

	private void refuse(ServerWork work) {
		FullHttpResponse response = Responses.text(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused by " + this.name);
		response.headers().set(REQUEST_EXECUTION, NOT_RUN);
		complete(work, response);
	}

	private void start(ServerWork work) {
		this.running.add(work);
		this.runs.add(work.requestId());
		double variation = 1 + VARIATION * (2 * this.random.nextDouble() - 1);
		long microseconds = Math
			.round(TimeUnit.MILLISECONDS.toMicros(work.profile().serviceTime()) * this.faults.slowdown() * variation);
		work.setTimer(this.server.executor().schedule(() -> finish(work), microseconds, TimeUnit.MICROSECONDS));
	}

	private void finish(ServerWork work) {
		if (!this.running.remove(work)) {
			return;
		}
		startNext();
		if (this.faults.silent()) {
			return;
		}
		boolean failing = this.random.nextDouble() < this.faults.failingShare();
		if (failing) {
			complete(work, Responses.text(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed at " + this.name));
		}
		else if (this.faults.truncating()) {
			truncate(work);
		}
		else {
			complete(work, Responses.response(HttpResponseStatus.OK, AnswerBody.of(work)));
		}
	}

	private void startNext() {
		ServerWork next = this.waiting.poll();
		if (next != null) {
			start(next);
		}
	}

	private void complete(ServerWork work, FullHttpResponse response) {
		response.headers().set(REQUEST_ID, work.requestId()).set(SERVER, this.name);
		if (this.faults.leaving()) {
			response.headers().set(SERVER_STATE, LEAVING).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		Responses.send(work.context(), response);
	}

	private void truncate(ServerWork work) {
		byte[] body = AnswerBody.of(work);
		DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length).set(REQUEST_ID, work.requestId());
		work.context().write(head);
		work.context()
			.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, body.length / 2)))
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void cancel(ChannelHandlerContext context) {
		this.waiting.removeIf((work) -> work.context() == context);
		for (ServerWork work : List.copyOf(this.running)) {
			if (work.context() == context) {
				work.cancelTimer();
				this.running.remove(work);
				startNext();
			}
		}
	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			receive(context, request);
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
