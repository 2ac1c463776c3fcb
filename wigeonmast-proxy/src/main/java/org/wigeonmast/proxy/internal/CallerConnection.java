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
import org.wigeonmast.proxy.HeaderVocabulary;
import org.wigeonmast.proxy.ProxyConfiguration;
import org.wigeonmast.proxy.ProxyEvent;

/**
 * Connection of a caller, whose requests are answered in order.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: responses are written in
 * the order of the requests; only idempotent requests without a body are worked on before
 * those ahead of them are answered; messages behind the request in progress are read
 * ahead up to a bound, so that it is noticed when the caller leaves; after a response
 * that is cut short, or that leaves part of the request unread, the connection closes.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerSide {

	private static final EventLog LOG = new EventLog(CallerConnection.class);

	private static final long LINGER_MILLISECONDS = 1000;

	/** The most requests that are worked on before their turn. */
	private static final int MOST_EARLY = 4;

	/** The most messages that are read ahead of the request in progress. */
	private static final int MOST_AHEAD = 64;

	private final ProxyContext context;

	private final CallerResponseEncoder encoder;

	private @Nullable ChannelHandlerContext channelContext;

	private @Nullable MessageQueue messages;

	private @Nullable Exchange exchange;

	private final Deque<HttpObject> ahead = new ArrayDeque<>();

	private final Deque<PipelinedRequest> early = new ArrayDeque<>();

	private boolean wanted;

	private boolean pumping;

	private @Nullable Rejection deferred;

	private State state = State.HEAD;

	private boolean keepAlive;

	private boolean headStarted;

	private long since;

	CallerConnection(ProxyContext context, CallerResponseEncoder encoder) {
		this.context = context;
		this.encoder = encoder;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.channelContext = added;
		this.messages = new MessageQueue(added, this::received, (reason) -> {
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext from) {
		this.since = now();
		if (this.context.isFull()) {
			LOG.log(ProxyEvent.CALLER_LIMIT, peer(), this.context.configuration().callerConnections());
			from.close();
			return;
		}
		this.context.add(this);
		ask();
	}

	@Override
	public void channelInactive(ChannelHandlerContext from) {
		this.context.remove(this);
		this.state = State.CLOSING;
		releaseHeld();
		if (this.messages != null) {
			this.messages.close();
		}
		Exchange current = this.exchange;
		this.exchange = null;
		if (current != null) {
			current.callerLeft();
		}
		leaveEarly();
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		if (this.messages != null) {
			this.messages.add(message);
		}
	}

	private void received(HttpObject message) {
		if (this.state != State.CLOSING && (this.state == State.ANSWERING || !this.ahead.isEmpty())) {
			this.ahead.addLast(message);
			if (this.state == State.ANSWERING) {
				startEarly();
				readAhead();
			}
			else {
				pump();
			}
			return;
		}
		process(message);
	}

	private void process(HttpObject message) {
		switch (this.state) {
			case HEAD -> receivedHead(message);
			case BODY -> receivedBody(message);
			case ANSWERING -> this.ahead.addFirst(message);
			case CLOSING -> {
				ReferenceCountUtil.release(message);
				ask();
			}
		}
	}

	// Works on an idempotent request without body that is complete and comes next.
	private void startEarly() {
		if (this.ahead.size() != 2 || this.early.size() >= MOST_EARLY || !this.keepAlive || this.context.isDraining()
				|| !(this.ahead.peekFirst() instanceof HttpRequest request)
				|| !(this.ahead.peekLast() instanceof LastHttpContent end) || end.decoderResult().isFailure()
				|| end.content().isReadable() || !this.context.admission().isRepeatable(request)) {
			return;
		}
		Either<Rejection, AdmittedHead> admitted = this.context.admission().admit(request, peer());
		if (admitted.isLeft()) {
			return;
		}
		this.ahead.clear();
		PipelinedRequest begun = new PipelinedRequest(this, admitted.get(), end);
		this.early.addLast(begun);
		begun.begin(this.context);
	}

	private void leaveEarly() {
		this.early.forEach(PipelinedRequest::callerLeft);
		this.early.clear();
	}

	private void readAhead() {
		if (this.ahead.size() < MOST_AHEAD && this.messages != null) {
			this.messages.ask();
		}
	}

	// Handles messages that were read ahead as far as they are asked for.
	private void pump() {
		if (this.pumping) {
			return;
		}
		this.pumping = true;
		try {
			while (this.wanted && !this.ahead.isEmpty() && this.state != State.ANSWERING) {
				this.wanted = false;
				process(this.ahead.removeFirst());
			}
		}
		finally {
			this.pumping = false;
		}
		if (this.wanted && this.ahead.isEmpty() && this.messages != null) {
			this.wanted = false;
			this.messages.ask();
		}
	}

	private void receivedHead(HttpObject message) {
		if (!(message instanceof HttpRequest request)) {
			// The end of a request that was refused before its end arrived.
			ReferenceCountUtil.release(message);
			ask();
			return;
		}
		this.headStarted = false;
		this.keepAlive = false;
		this.encoder.setHead(HttpMethod.HEAD.equals(request.method()));
		Either<Rejection, AdmittedHead> admitted = this.context.admission().admit(request, peer());
		if (admitted.isLeft()) {
			String declaredId = this.context.admission().declaredId(request);
			ReferenceCountUtil.release(message);
			reject(admitted.getLeft(), declaredId);
			return;
		}
		this.keepAlive = admitted.get().keepAlive();
		this.state = State.BODY;
		this.since = now();
		this.exchange = new Exchange(this.context, this, admitted.get());
		this.exchange.begin();
	}

	private void receivedBody(HttpObject message) {
		Exchange current = this.exchange;
		if (current == null || !(message instanceof HttpContent content)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (message.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			Rejection rejection = RequestAdmission.undecodable(message.decoderResult());
			current.abandon(rejection.problem(), rejection.detail());
			return;
		}
		this.since = now();
		if (message instanceof LastHttpContent) {
			this.state = State.ANSWERING;
		}
		current.content(content);
		if (this.state == State.ANSWERING) {
			// The next message is awaited so that it is noticed when the caller leaves.
			readAhead();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext from) {
		if (this.exchange != null) {
			this.exchange.flushBody();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext from) {
		if (this.exchange != null && from.channel().isWritable()) {
			this.exchange.callerWritable();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
		if (!(cause instanceof DecoderException) && !(cause instanceof IOException)) {
			LOG.log(ProxyEvent.UNEXPECTED_ERROR, cause);
		}
		if (!(cause instanceof DecoderException) || this.state == State.CLOSING) {
			from.close();
			return;
		}
		Throwable reason = (cause.getCause() != null) ? cause.getCause() : cause;
		Rejection rejection = RequestAdmission.undecodable(reason);
		if (this.state == State.ANSWERING || !this.ahead.isEmpty()) {
			// The request in progress keeps its own answer.
			this.deferred = rejection;
		}
		else if (this.exchange != null) {
			this.exchange.abandon(rejection.problem(), rejection.detail());
		}
		else {
			rejectUndecoded(rejection);
		}
	}

	private void rejectUndecoded(Rejection rejection) {
		// The method of an earlier request must not decide about the body of this
		// response.
		this.encoder.setHead(false);
		reject(rejection, null);
	}

	private void reject(Rejection rejection, @Nullable String declaredId) {
		String id = (declaredId != null) ? declaredId : this.context.admission().nextId().value();
		FullHttpResponse response = (rejection.problem() == Problem.NOT_RUN)
				? ProblemResponses.notRun(rejection.detail(), id, this.context.configuration().timeouts().retryAfter(),
						this.context.configuration().headers())
				: ProblemResponses.make(rejection.problem(), rejection.detail(), id, false,
						this.context.configuration().headers());
		this.context.metrics().count(ProxyMetrics.Outcome.REJECTED);
		LOG.log(ProxyEvent.REQUEST_REJECTED, peer(), response.status().code(), rejection.detail());
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
		this.since = now();
		channelContext().writeAndFlush(response).addListener((written) -> next());
	}

	@Override
	public void respondHead(HttpResponse response, String requestId, boolean requestComplete) {
		HttpHeaders headers = response.headers();
		boolean chunked = HttpUtil.isTransferEncodingChunked(response);
		HopByHopHeaders.remove(headers);
		HeaderVocabulary names = this.context.configuration().headers();
		if (names.serverState() != null) {
			headers.remove(names.serverState());
		}
		headers.set(names.requestId(), requestId);
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
		boolean empty = this.encoder.isHead() || status == HttpResponseStatus.NO_CONTENT.code()
				|| status == HttpResponseStatus.NOT_MODIFIED.code();
		if (!empty) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
	}

	private void closeUnlessKeptAlive(HttpHeaders headers) {
		// Requests that are worked on already are answered before the connection closes.
		this.keepAlive &= !this.context.isDraining() || !this.early.isEmpty();
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
	public void exchangeEnded() {
		this.exchange = null;
		next();
	}

	private void next() {
		if (!channelContext().channel().isActive()) {
			return;
		}
		if (!this.keepAlive) {
			linger();
			return;
		}
		PipelinedRequest begun = this.early.pollFirst();
		if (begun != null) {
			this.state = State.ANSWERING;
			this.since = now();
			this.keepAlive = begun.keepAlive();
			this.encoder.setHead(false);
			this.exchange = begun.exchange();
			begun.takeTurn();
			return;
		}
		this.state = State.HEAD;
		this.since = now();
		if (this.ahead.isEmpty() && this.deferred != null) {
			rejectUndecoded(this.deferred);
		}
		else {
			ask();
		}
	}

	// Closes this side and discards what the caller still sends, because closing while
	// bytes are unread would reset the connection and could destroy the response.
	private void linger() {
		this.state = State.CLOSING;
		this.since = now();
		releaseHeld();
		leaveEarly();
		((DuplexChannel) channelContext().channel()).shutdownOutput();
		ask();
	}

	@Override
	public void breakTransfer() {
		this.state = State.CLOSING;
		this.exchange = null;
		channelContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
		channelContext().close();
	}

	/**
	 * Closes the connection if it has been idle or too slow.
	 * @param now the monotonic time in milliseconds
	 */
	void checkTimeouts(long now) {
		ProxyConfiguration.Timeouts timeouts = this.context.configuration().timeouts();
		long start = this.context.isDraining() ? Math.max(this.since, this.context.drainingSince()) : this.since;
		long waited = now - start;
		switch (this.state) {
			case HEAD -> checkHead(waited, timeouts);
			case BODY -> checkBody(waited, now, timeouts);
			case ANSWERING -> {
				if (this.exchange == null && waited > timeouts.keepAlive()) {
					channelContext().close();
				}
			}
			case CLOSING -> {
				if (waited > LINGER_MILLISECONDS) {
					channelContext().close();
				}
			}
		}
	}

	private void checkHead(long waited, ProxyConfiguration.Timeouts timeouts) {
		if (this.headStarted && waited > timeouts.head()) {
			rejectUndecoded(new Rejection(Problem.TOO_SLOW, "The head did not arrive in time"));
		}
		else if (!this.headStarted
				&& waited > (this.context.isDraining() ? timeouts.drainIdle() : timeouts.keepAlive())) {
			linger();
		}
	}

	private void checkBody(long waited, long now, ProxyConfiguration.Timeouts timeouts) {
		Exchange current = this.exchange;
		if (current == null) {
			return;
		}
		boolean slow = current.awaitsBody() && waited > timeouts.body();
		if (slow || (!current.isAccepted() && now > current.head().deadline())) {
			current.abandon(Problem.TOO_SLOW, "The body did not arrive in time");
		}
	}

	/** Notes that the first byte of a head has arrived. */
	void headStarted() {
		this.headStarted = true;
		this.since = now();
	}

	@Override
	public void ask() {
		this.wanted = true;
		pump();
	}

	@Override
	public void flush() {
		channelContext().flush();
	}

	@Override
	public boolean isWaitingForTurn() {
		return false;
	}

	private String peer() {
		return (channelContext().channel().remoteAddress() instanceof InetSocketAddress address)
				? address.getAddress().getHostAddress() : "unknown";
	}

	private void releaseHeld() {
		this.ahead.forEach(ReferenceCountUtil::release);
		this.ahead.clear();
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

	/** What the connection waits for. */
	private enum State {

		/** The head of a request. */
		HEAD,

		/** The body of the current request. */
		BODY,

		/** The answer to the current request, which was read completely. */
		ANSWERING,

		/** The caller to close. */
		CLOSING

	}

}
