package org.wigeonmast.proxy.internal;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
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
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.ProxyEvent;
import org.wigeonmast.proxy.ProxyHeaders;

/**
 * One attempt to have a request answered by a backend server.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: {@link #sendStarted} is
 * set before the first byte of the request is handed to the channel and never reset; a
 * connection goes back to the pool only after the whole request was sent and the whole
 * response received; after the attempt has ended it reports nothing more.
 */
final class Attempt {

	private static final EventLog LOG = new EventLog(Attempt.class);

	/**
	 * Safety margin before the end of a server's idle timeout, in which its connection is
	 * no longer used.
	 */
	private static final long IDLE_MARGIN_MS = 1500;

	/**
	 * Interval at which a timed-out attempt is checked again while its response waits for
	 * those of earlier pipelined requests.
	 */
	private static final long TURN_RECHECK_INTERVAL_MS = 500;

	private final ProxyContext context;

	private final Exchange exchange;

	private final ExchangeCommand.StartAttempt command;

	private State state = State.CONNECTING;

	private boolean sendStarted;

	private boolean requestSent;

	private boolean skippingInformational;

	private boolean statedNotRun;

	private boolean reusable;

	private boolean relayPaused;

	private boolean foreignReceived;

	private boolean skippingForeign;

	private boolean responseComplete;

	private @Nullable ByteBuf bufferedBody;

	private final MemoryReservation bufferedMemory;

	private long sentAtNanos;

	private long headAtNanos;

	private @Nullable BackendConnection connection;

	private @Nullable HttpResponse response;

	private @Nullable EmbeddedAnswerDetector answerDetector;

	private @Nullable ScheduledFuture<?> timer;

	Attempt(ProxyContext context, Exchange exchange, ExchangeCommand.StartAttempt command) {
		this.context = context;
		this.exchange = exchange;
		this.command = command;
		this.bufferedMemory = new MemoryReservation(context.responseMemory());
	}

	/** Acquires a connection and starts the timeout. */
	void start() {
		long remaining = this.command.deadline() - this.context.clock().milliseconds();
		if (remaining <= 0) {
			fail("The deadline passed before the attempt", true);
			return;
		}
		if (this.exchange.body().isStreamed()) {
			fail("The body was already passed on and is not held in memory", false);
			return;
		}
		this.timer = this.context.eventLoop().schedule(this::onDeadline, remaining, TimeUnit.MILLISECONDS);
		this.context.pool().acquire(this.command.server(), this.command.requirement(), this);
	}

	/**
	 * Sends the request on a connection from the pool.
	 * @param acquired the connection
	 */
	void onConnected(BackendConnection acquired) {
		if (this.state == State.ENDED) {
			this.context.pool().release(this.command.server(), acquired);
			return;
		}
		if (!acquired.isActive()) {
			fail("The server closed the connection before the request was sent", false);
			return;
		}
		this.connection = acquired;
		this.exchange.recordConnection(acquired);
		acquired.attach(this, isHeadRequest());
		send(acquired);
	}

	/**
	 * Ends the attempt because no connection is available.
	 * @param reason the cause
	 */
	void onConnectFailed(String reason) {
		fail(reason, false);
	}

	private void send(BackendConnection acquired) {
		long remaining = Math.min(this.command.deadline(), this.exchange.head().deadline())
				- this.context.clock().milliseconds();
		if (remaining <= 0) {
			fail("The deadline passed before the request was sent", true);
			return;
		}
		HttpRequest request = this.exchange.head().request();
		HttpHeaders headers = request.headers();
		headers.set(conventions().remainingTime(), Long.toString(remaining));
		String expectedServer = conventions().expectedServer();
		if (expectedServer != null) {
			headers.set(expectedServer, server().value());
		}
		RequestBody body = this.exchange.body();
		this.state = State.AWAITING;
		this.sendStarted = true;
		this.sentAtNanos = System.nanoTime();
		if (this.exchange.isReplayable()) {
			ByteBuf content = body.duplicate();
			if (content.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
					|| this.exchange.head().contentLength() == AdmittedHead.UNKNOWN_LENGTH) {
				headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
			}
			this.requestSent = true;
			acquired.write(new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(),
					content, headers, EmptyHttpHeaders.INSTANCE));
		}
		else {
			if (this.exchange.head().contentLength() == AdmittedHead.UNKNOWN_LENGTH) {
				headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			acquired.write(new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), headers));
			this.exchange.attachBody(this);
		}
		if (this.state != State.ENDED) {
			acquired.flush();
			acquired.requestNext();
		}
	}

	/**
	 * Sends a part of a streamed request body.
	 * @param piece the part, whose ownership passes to this attempt
	 * @param last whether it is the last one
	 */
	void sendBody(ByteBuf piece, boolean last) {
		boolean nothingToSend = !last && !piece.isReadable();
		if (this.connection == null || this.state == State.ENDED || this.requestSent || nothingToSend) {
			piece.release();
			return;
		}
		this.requestSent = last;
		this.connection.write(last ? new DefaultLastHttpContent(piece) : new DefaultHttpContent(piece));
		if (!isWritable()) {
			flushBody();
		}
	}

	void flushBody() {
		if (this.connection != null && this.state != State.ENDED) {
			this.connection.flush();
		}
	}

	boolean isWritable() {
		return this.connection != null && this.connection.isWritable();
	}

	/** Resumes reading the request body once the backend connection is writable again. */
	void onBackendWritable() {
		this.exchange.requestMoreBody();
		flushBody();
	}

	/**
	 * Handles a message from the server.
	 * @param message the message, whose ownership passes to this attempt
	 */
	void onMessage(HttpObject message) {
		if (this.state == State.ENDED || message.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			fail("The response is malformed: " + message.decoderResult().cause(), false);
			return;
		}
		if (message instanceof HttpResponse head) {
			onHead(head);
		}
		else if (message instanceof HttpContent content) {
			onContent(content);
		}
	}

	private void onHead(HttpResponse head) {
		switch (ResponseKind.of(head, conventions(), this.exchange.head().externalId(), isFirstOnConnection())) {
			case ResponseKind.Informational _ -> {
				this.skippingInformational = true;
				requestNext();
			}
			case ResponseKind.Foreign _ -> {
				LOG.log(ProxyEvent.FOREIGN_RESPONSE, this.exchange.head().externalId(), server());
				this.foreignReceived = true;
				this.skippingForeign = true;
				requestNext();
			}
			case ResponseKind.Invalid invalid -> fail(invalid.reason(), false);
			case ResponseKind.Answer answer -> acceptHead(head, answer.statedNotRun());
		}
	}

	private void acceptHead(HttpResponse head, boolean notRun) {
		this.response = head;
		this.headAtNanos = System.nanoTime();
		this.statedNotRun = notRun;
		this.reusable = HttpUtil.isKeepAlive(head) && !this.foreignReceived && !mayHideTheNextAnswer();
		if (this.connection != null) {
			this.connection.onAnswerStarted();
			long idleLimit = ResponseChecks.idleLimitMs(head);
			if (idleLimit != ResponseChecks.NO_LIMIT) {
				this.connection.setIdleLimit(idleLimit - IDLE_MARGIN_MS);
			}
		}
		if (ResponseChecks.endsWithConnection(head, conventions())) {
			this.answerDetector = new EmbeddedAnswerDetector(conventions().requestId());
		}
		if (this.context.configuration().limits().heldResponse() > 0) {
			this.state = State.HOLDING;
			requestNext();
		}
		else {
			reportHead(head);
		}
	}

	// A late repeat of a response to HEAD states a length and has no body, so the decoder
	// would take the next answer for its body.
	private boolean mayHideTheNextAnswer() {
		return isHeadRequest() && conventions().requestIdEchoed();
	}

	private boolean isHeadRequest() {
		return HttpMethod.HEAD.equals(this.exchange.head().request().method());
	}

	private boolean isFirstOnConnection() {
		return this.connection != null && this.connection.isFirstAttempt() && !this.foreignReceived;
	}

	private void reportHead(HttpResponse head) {
		this.state = State.HELD;
		int status = head.status().code();
		boolean shed = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
		boolean leaving = ProxyHeaders.LEAVING
			.equals(HeaderConventions.value(head.headers(), conventions().serverState())) || (shed && !this.reusable);
		this.exchange.report(this, new AttemptReport.ResponseStarted(status, this.statedNotRun, leaving));
	}

	private void bufferContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.bufferedBody == null) {
			this.bufferedBody = Unpooled.buffer();
		}
		boolean reserved = this.bufferedMemory.tryReserve(content.content().readableBytes());
		this.bufferedBody.writeBytes(content.content());
		content.release();
		if (last) {
			this.responseComplete = true;
			releaseConnection();
		}
		else if (reserved
				&& this.bufferedBody.readableBytes() <= this.context.configuration().limits().heldResponse()) {
			requestNext();
			return;
		}
		if (this.response != null) {
			reportHead(this.response);
		}
	}

	private void onContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skippingInformational || this.skippingForeign) {
			this.skippingInformational &= !last;
			this.skippingForeign &= !last;
			content.release();
			requestNext();
		}
		else if (holdsAnotherAnswer(content, last)) {
			content.release();
			LOG.log(ProxyEvent.EMBEDDED_RESPONSE, this.exchange.head().externalId(), server());
			fail("Another response follows a response without length", false);
		}
		else if (this.state == State.HOLDING) {
			bufferContent(content);
		}
		else if (this.state != State.RELAYING) {
			content.release();
			fail("The server sent a body without a head", false);
		}
		else if (last) {
			onLastContent(content);
		}
		else {
			this.relayPaused = !this.exchange.relayContent(content);
			if (this.relayPaused) {
				this.exchange.flushResponse();
			}
			else {
				requestNext();
			}
		}
	}

	private boolean holdsAnotherAnswer(HttpContent content, boolean last) {
		EmbeddedAnswerDetector detector = this.answerDetector;
		return detector != null && (detector.examine(content.content()) || (last && detector.endsWithinHead()));
	}

	private void onLastContent(HttpContent content) {
		this.state = State.FLUSHING;
		releaseConnection();
		this.exchange.relayLast(this, content.content());
	}

	// Returns the connection to the pool, or closes it, after the response is complete.
	private void releaseConnection() {
		BackendConnection used = this.connection;
		this.connection = null;
		if (used != null) {
			if (this.reusable && this.requestSent) {
				used.setLastProven(this.context.clock().milliseconds());
				this.context.pool().release(this.command.server(), used);
			}
			else {
				used.detach();
				used.close();
			}
		}
	}

	/** Relays the held response. */
	void relay() {
		HttpResponse head = this.response;
		if (this.state != State.HELD || head == null) {
			return;
		}
		this.state = State.RELAYING;
		this.exchange.relayHead(this, head);
		ByteBuf buffered = this.bufferedBody;
		this.bufferedBody = null;
		if (this.responseComplete) {
			this.state = State.FLUSHING;
			this.exchange.relayLast(this, (buffered != null) ? buffered : Unpooled.EMPTY_BUFFER);
			return;
		}
		if (buffered != null) {
			this.exchange.relayContent(new DefaultHttpContent(buffered));
		}
		requestNext();
		onReadComplete();
	}

	/** Flushes the relayed bytes to the caller at the end of a read. */
	void onReadComplete() {
		if (this.state == State.RELAYING) {
			this.exchange.flushResponse();
		}
	}

	/** Resumes reading the response once the caller's connection is writable again. */
	void onCallerWritable() {
		if (this.relayPaused) {
			this.relayPaused = false;
			requestNext();
			onReadComplete();
		}
	}

	/**
	 * Ends the attempt with a failure report.
	 * @param reason the cause
	 * @param timedOut whether a deadline or timeout expired
	 */
	void fail(String reason, boolean timedOut) {
		if (this.state == State.ENDED) {
			return;
		}
		boolean relaying = this.state == State.RELAYING || this.state == State.FLUSHING;
		end();
		this.exchange.onAttemptFailed(this, this.sendStarted ? new AttemptReport.Broken(relaying, timedOut, reason)
				: new AttemptReport.NothingSent(reason));
	}

	/** Ends the attempt without a report and closes its connection. */
	void end() {
		this.state = State.ENDED;
		this.bufferedBody = null;
		this.bufferedMemory.release();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.connection != null) {
			this.connection.detach();
			this.connection.close();
			this.connection = null;
		}
	}

	private HeaderConventions conventions() {
		return this.context.configuration().headers();
	}

	// The response may have arrived in time and wait to be read.
	private void onDeadline() {
		this.timer = this.context.afterArrivedInput(this::onTimeout);
	}

	private void onTimeout() {
		if (this.state == State.HELD && this.responseComplete) {
			// The whole response is buffered and about to be relayed.
			return;
		}
		if ((this.relayPaused || this.state == State.FLUSHING) && this.exchange.isWaitingForTurn()) {
			// Neither side is slow: earlier responses on the caller's connection come
			// first.
			this.timer = this.context.eventLoop()
				.schedule(this::onTimeout, TURN_RECHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
			return;
		}
		if (this.relayPaused || this.state == State.FLUSHING) {
			// The server is not at fault: the caller does not read the response.
			this.exchange.onCallerTooSlow();
			return;
		}
		fail("The attempt timed out", true);
	}

	private void requestNext() {
		if (this.connection != null) {
			this.connection.requestNext();
		}
	}

	/**
	 * Returns whether the connection carried an earlier attempt of the same request,
	 * whose late response would look like the response to this one.
	 * @param candidate the connection
	 * @return whether this attempt must not use it
	 */
	boolean mayConfuseResponses(BackendConnection candidate) {
		return this.exchange.hasUsed(candidate);
	}

	int number() {
		return this.command.attempt();
	}

	BackendServerId server() {
		return this.command.server().id();
	}

	/**
	 * Returns the response time of the server.
	 * @return the time from the first byte sent to the response head in nanoseconds
	 */
	long serverTimeNanos() {
		return this.headAtNanos - this.sentAtNanos;
	}

	int status() {
		return (this.response != null) ? this.response.status().code() : 0;
	}

	/**
	 * Returns whether the server may have run the request.
	 * @return whether bytes were sent and the server did not state otherwise
	 */
	boolean mayHaveRun() {
		return this.sendStarted && !this.statedNotRun;
	}

	/** Progress of an attempt. */
	private enum State {

		/** Waiting for a connection. */
		CONNECTING,

		/** The request is being sent; waiting for the response head. */
		AWAITING,

		/** The response is being buffered and nothing of it has been relayed. */
		HOLDING,

		/** The response, or its first part, is held until dispatch decides. */
		HELD,

		/** The response is being relayed. */
		RELAYING,

		/** The whole response has arrived and is being written to the caller. */
		FLUSHING,

		/** The attempt has ended. */
		ENDED

	}

}
