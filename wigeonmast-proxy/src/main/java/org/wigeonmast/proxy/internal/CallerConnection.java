package org.wigeonmast.proxy.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyEvent;

/**
 * Connection of a caller, whose requests are answered in order.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: responses are written in
 * the order of the requests; only idempotent requests without a body are processed before
 * earlier requests are answered; messages that follow the current request are read ahead
 * up to a limit, to detect that the caller closes the connection; after a response that
 * is truncated, or that leaves part of the request unread, the connection closes.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerEndpoint {

	private static final EventLog LOG = new EventLog(CallerConnection.class);

	private static final long LINGER_TIMEOUT_MS = 1000;

	/**
	 * Maximum number of pipelined requests that are processed while an earlier request of
	 * the connection is still unanswered.
	 */
	private static final int MAX_EARLY_REQUESTS = 4;

	/** Maximum number of messages that are read ahead while a request is in progress. */
	private static final int MAX_READ_AHEAD_MESSAGES = 64;

	private final ProxyContext context;

	private final CallerResponseEncoder encoder;

	private @Nullable ChannelHandlerContext channelContext;

	private @Nullable MessageQueue messages;

	private @Nullable Exchange exchange;

	private final Deque<HttpObject> readAheadMessages = new ArrayDeque<>();

	private final Deque<PipelinedRequest> earlyRequests = new ArrayDeque<>();

	private boolean nextRequested;

	private boolean processingReadAhead;

	private @Nullable Rejection deferredRejection;

	private State state = State.HEAD;

	private boolean keepAlive;

	private boolean headStarted;

	private long stateSinceMs;

	CallerConnection(ProxyContext context, CallerResponseEncoder encoder) {
		this.context = context;
		this.encoder = encoder;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channelContext = ctx;
		this.messages = new MessageQueue(ctx, this::onMessage, (reason) -> {
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.stateSinceMs = now();
		if (this.context.isCallerLimitReached()) {
			LOG.log(ProxyEvent.CALLER_LIMIT, peerAddress(), this.context.configuration().callerConnections());
			ctx.close();
			return;
		}
		this.context.addCaller(this);
		requestNext();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.context.removeCaller(this);
		this.state = State.CLOSING;
		releaseReadAhead();
		if (this.messages != null) {
			this.messages.close();
		}
		Exchange current = this.exchange;
		this.exchange = null;
		if (current != null) {
			current.onCallerLeft();
		}
		abortEarlyRequests();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof HttpRequest) {
			this.headStarted = false;
		}
		if (this.messages != null) {
			this.messages.add(message);
		}
	}

	private void onMessage(HttpObject message) {
		if (this.state != State.CLOSING && (this.state == State.ANSWERING || !this.readAheadMessages.isEmpty())) {
			this.readAheadMessages.addLast(message);
			if (this.state == State.ANSWERING) {
				startEarlyRequest();
				readAhead();
			}
			else {
				processReadAhead();
			}
			return;
		}
		process(message);
	}

	private void process(HttpObject message) {
		switch (this.state) {
			case HEAD -> onHead(message);
			case BODY -> onBody(message);
			case ANSWERING -> this.readAheadMessages.addFirst(message);
			case CLOSING -> {
				ReferenceCountUtil.release(message);
				requestNext();
			}
		}
	}

	// Starts the next pipelined request early if it is idempotent, complete and without
	// body.
	private void startEarlyRequest() {
		if (this.readAheadMessages.size() != 2 || this.earlyRequests.size() >= MAX_EARLY_REQUESTS || !this.keepAlive
				|| this.context.isDraining() || !(this.readAheadMessages.peekFirst() instanceof HttpRequest request)
				|| !(this.readAheadMessages.peekLast() instanceof LastHttpContent end)
				|| end.decoderResult().isFailure() || end.content().isReadable()
				|| !this.context.admission().isRepeatable(request)) {
			return;
		}
		Either<Rejection, AdmittedHead> admitted = this.context.admission().admit(request, peerAddress());
		if (admitted.isLeft()) {
			return;
		}
		this.readAheadMessages.clear();
		PipelinedRequest newRequest = new PipelinedRequest(this, admitted.get(), end);
		this.earlyRequests.addLast(newRequest);
		newRequest.start(this.context);
	}

	private void abortEarlyRequests() {
		this.earlyRequests.forEach(PipelinedRequest::onCallerLeft);
		this.earlyRequests.clear();
	}

	private void readAhead() {
		if (this.readAheadMessages.size() < MAX_READ_AHEAD_MESSAGES && this.messages != null) {
			this.messages.requestNext();
		}
	}

	// Processes messages that were read ahead, one for each request for the next message.
	private void processReadAhead() {
		if (this.processingReadAhead) {
			return;
		}
		this.processingReadAhead = true;
		try {
			while (this.nextRequested && !this.readAheadMessages.isEmpty() && this.state != State.ANSWERING) {
				this.nextRequested = false;
				process(this.readAheadMessages.removeFirst());
			}
		}
		finally {
			this.processingReadAhead = false;
		}
		if (this.nextRequested && this.readAheadMessages.isEmpty() && this.messages != null) {
			this.nextRequested = false;
			this.messages.requestNext();
		}
	}

	private void onHead(HttpObject message) {
		if (!(message instanceof HttpRequest request)) {
			// The end of a request that was rejected before it was complete.
			ReferenceCountUtil.release(message);
			requestNext();
			return;
		}
		this.keepAlive = false;
		this.encoder.setHeadRequest(HttpMethod.HEAD.equals(request.method()));
		Either<Rejection, AdmittedHead> admitted = this.context.admission().admit(request, peerAddress());
		if (admitted.isLeft()) {
			String declaredId = this.context.admission().declaredId(request);
			ReferenceCountUtil.release(message);
			reject(admitted.getLeft(), declaredId);
			return;
		}
		this.keepAlive = admitted.get().keepAlive();
		this.state = State.BODY;
		this.stateSinceMs = now();
		this.exchange = new Exchange(this.context, this, admitted.get());
		this.exchange.start();
	}

	private void onBody(HttpObject message) {
		Exchange current = this.exchange;
		if (current == null || !(message instanceof HttpContent content)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			Rejection rejection = RequestAdmission.rejectionFor(message.decoderResult());
			current.reject(rejection.problem(), rejection.detail());
			return;
		}
		this.stateSinceMs = now();
		if (message instanceof LastHttpContent) {
			this.state = State.ANSWERING;
		}
		current.onBodyContent(content);
		if (this.state == State.ANSWERING) {
			// Reading ahead detects that the caller closes the connection.
			readAhead();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.exchange != null) {
			this.exchange.flushBody();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.exchange != null && ctx.channel().isWritable()) {
			this.exchange.onCallerWritable();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof DecoderException) && !(cause instanceof IOException)) {
			LOG.log(ProxyEvent.UNEXPECTED_ERROR, cause);
		}
		if (!(cause instanceof DecoderException) || this.state == State.CLOSING) {
			ctx.close();
			return;
		}
		Throwable reason = (cause.getCause() != null) ? cause.getCause() : cause;
		Rejection rejection = RequestAdmission.rejectionFor(reason);
		if (this.state == State.ANSWERING || !this.readAheadMessages.isEmpty()) {
			// The response to the current request comes first.
			this.deferredRejection = rejection;
		}
		else if (this.exchange != null) {
			this.exchange.reject(rejection.problem(), rejection.detail());
		}
		else {
			rejectUndecodable(rejection);
		}
	}

	private void rejectUndecodable(Rejection rejection) {
		// The flag of an earlier HEAD request would suppress the body of this response.
		this.encoder.setHeadRequest(false);
		reject(rejection, null);
	}

	private void reject(Rejection rejection, @Nullable String declaredId) {
		String id = (declaredId != null) ? declaredId : this.context.admission().generateId().value();
		FullHttpResponse response = (rejection.problem() == Problem.NOT_RUN)
				? ProblemResponses.createNotRun(rejection.detail(), id,
						this.context.configuration().timeouts().retryAfter(), this.context.configuration().headers())
				: ProblemResponses.create(rejection.problem(), rejection.detail(), id, false,
						this.context.configuration().headers());
		this.context.metrics().countOutcome(ProxyMetrics.Outcome.REJECTED);
		LOG.log(ProxyEvent.REQUEST_REJECTED, peerAddress(), response.status().code(), rejection.detail());
		respond(response, false);
	}

	@Override
	public void sendContinue() {
		channelContext().writeAndFlush(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
	}

	@Override
	public void respond(FullHttpResponse response, boolean requestComplete) {
		this.exchange = null;
		if (!channelContext().channel().isActive()) {
			response.release();
			return;
		}
		this.keepAlive &= requestComplete;
		closeUnlessKeptAlive(response.headers());
		this.state = State.ANSWERING;
		this.stateSinceMs = now();
		channelContext().writeAndFlush(response).addListener((written) -> startNextRequest());
	}

	@Override
	public void respondHead(HttpResponse response, String requestId, boolean requestComplete) {
		HttpHeaders headers = response.headers();
		boolean chunked = HttpUtil.isTransferEncodingChunked(response);
		HopByHopHeaders.remove(headers);
		HeaderConventions conventions = this.context.configuration().headers();
		if (conventions.serverState() != null) {
			headers.remove(conventions.serverState());
		}
		headers.set(conventions.requestId(), requestId);
		if (chunked || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			setChunked(response);
		}
		response.setProtocolVersion(HttpVersion.HTTP_1_1);
		this.keepAlive &= requestComplete;
		closeUnlessKeptAlive(headers);
		channelContext().write(response);
	}

	private void setChunked(HttpResponse response) {
		int status = response.status().code();
		boolean empty = this.encoder.isHeadRequest() || status == HttpResponseStatus.NO_CONTENT.code()
				|| status == HttpResponseStatus.NOT_MODIFIED.code();
		if (!empty) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
	}

	private void closeUnlessKeptAlive(HttpHeaders headers) {
		// Pipelined requests that have been started are answered before the connection
		// closes.
		this.keepAlive &= !this.context.isDraining() || !this.earlyRequests.isEmpty();
		if (!this.keepAlive) {
			headers.add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	@Override
	public boolean respondContent(HttpContent content) {
		channelContext().write(content);
		return channelContext().channel().isWritable();
	}

	@Override
	public void respondLast(ByteBuf content, Runnable completed) {
		ChannelFuture written = channelContext().writeAndFlush(new DefaultLastHttpContent(content));
		written.addListener((future) -> {
			if (future.isSuccess()) {
				completed.run();
			}
			else {
				channelContext().close();
			}
		});
	}

	@Override
	public void onExchangeEnded() {
		this.exchange = null;
		startNextRequest();
	}

	private void startNextRequest() {
		if (!channelContext().channel().isActive()) {
			return;
		}
		if (!this.keepAlive) {
			startLingeringClose();
			return;
		}
		PipelinedRequest nextRequest = this.earlyRequests.pollFirst();
		if (nextRequest != null) {
			this.state = State.ANSWERING;
			this.stateSinceMs = now();
			this.keepAlive = nextRequest.keepAlive();
			this.encoder.setHeadRequest(false);
			this.exchange = nextRequest.exchange();
			nextRequest.onTurn();
			return;
		}
		this.state = State.HEAD;
		this.stateSinceMs = now();
		if (this.readAheadMessages.isEmpty() && this.deferredRejection != null) {
			rejectUndecodable(this.deferredRejection);
		}
		else {
			requestNext();
		}
	}

	// Shuts down output and discards further input: closing with unread bytes would reset
	// the connection and the caller could lose the response.
	private void startLingeringClose() {
		this.state = State.CLOSING;
		this.stateSinceMs = now();
		releaseReadAhead();
		abortEarlyRequests();
		((DuplexChannel) channelContext().channel()).shutdownOutput();
		requestNext();
	}

	@Override
	public void resetConnection() {
		this.state = State.CLOSING;
		this.exchange = null;
		channelContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
		channelContext().close();
	}

	/**
	 * Closes the connection although its requests, which stay in flight, have no answer.
	 */
	void closeUnanswered() {
		this.state = State.CLOSING;
		this.exchange = null;
		this.earlyRequests.clear();
		channelContext().close();
	}

	/**
	 * Closes the connection if it is idle or too slow.
	 * @param now the current monotonic time in milliseconds
	 */
	void checkTimeouts(long now) {
		ProxyConfiguration.Timeouts timeouts = this.context.configuration().timeouts();
		long startMs = this.context.isDraining() ? Math.max(this.stateSinceMs, this.context.drainingSinceMs())
				: this.stateSinceMs;
		long waitedMs = now - startMs;
		switch (this.state) {
			case HEAD -> checkHead(waitedMs, timeouts);
			case BODY -> checkBody(waitedMs, now, timeouts);
			case ANSWERING -> {
				if (this.exchange == null && waitedMs > timeouts.keepAlive()) {
					channelContext().close();
				}
			}
			case CLOSING -> {
				if (waitedMs > LINGER_TIMEOUT_MS) {
					channelContext().close();
				}
			}
		}
	}

	private void checkHead(long waitedMs, ProxyConfiguration.Timeouts timeouts) {
		if (this.headStarted && waitedMs > timeouts.head()) {
			rejectUndecodable(new Rejection(Problem.TOO_SLOW, "The head did not arrive in time"));
		}
		else if (!this.headStarted
				&& waitedMs > (this.context.isDraining() ? timeouts.drainIdle() : timeouts.keepAlive())) {
			long idleSinceMs = this.stateSinceMs;
			this.context.afterArrivedInput(() -> closeIfIdle(idleSinceMs));
		}
	}

	private void closeIfIdle(long idleSinceMs) {
		if (this.state == State.HEAD && !this.headStarted && this.stateSinceMs == idleSinceMs) {
			startLingeringClose();
		}
	}

	private void checkBody(long waitedMs, long now, ProxyConfiguration.Timeouts timeouts) {
		Exchange current = this.exchange;
		if (current == null) {
			return;
		}
		boolean slow = current.isAwaitingBody() && waitedMs > timeouts.body();
		if (slow || (!current.isAccepted() && now > current.head().deadline())) {
			current.reject(Problem.TOO_SLOW, "The body did not arrive in time");
		}
	}

	/** Starts the timeout of a request head at its first byte. */
	void onHeadStarted() {
		this.headStarted = true;
		this.stateSinceMs = now();
	}

	@Override
	public void requestNext() {
		this.nextRequested = true;
		processReadAhead();
	}

	@Override
	public void flush() {
		channelContext().flush();
	}

	@Override
	public boolean isWaitingForTurn() {
		return false;
	}

	private String peerAddress() {
		return (channelContext().channel().remoteAddress() instanceof InetSocketAddress address)
				? address.getAddress().getHostAddress() : "unknown";
	}

	private void releaseReadAhead() {
		this.readAheadMessages.forEach(ReferenceCountUtil::release);
		this.readAheadMessages.clear();
	}

	private long now() {
		return this.context.clock().milliseconds();
	}

	private ChannelHandlerContext channelContext() {
		if (this.channelContext == null) {
			throw new IllegalStateException("The connection has no channel yet");
		}
		return this.channelContext;
	}

	/** Input or event that the connection waits for. */
	private enum State {

		/** The head of a request. */
		HEAD,

		/** The body of the current request. */
		BODY,

		/** The response to the current request, which was read completely. */
		ANSWERING,

		/** The close of the connection by the caller. */
		CLOSING

	}

}
