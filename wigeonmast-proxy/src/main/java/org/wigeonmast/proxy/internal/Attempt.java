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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.proxy.HeaderVocabulary;
import org.wigeonmast.proxy.ProxyEvent;
import org.wigeonmast.proxy.ProxyHeaders;

/**
 * One attempt to have a request answered by a backend server.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: {@link #sent} is set
 * before the first byte of the request is handed to the channel and never reset; a
 * connection goes back to the pool only after the whole request was sent and the whole
 * response received; after the attempt has ended it reports nothing more.
 */
final class Attempt {

	private static final EventLog LOG = new EventLog(Attempt.class);

	/** Time before the end of a server's idle timeout when its connection is not used. */
	private static final long IDLE_MARGIN_MILLISECONDS = 1500;

	/**
	 * Time in milliseconds after which a response that waits for its turn is looked at.
	 */
	private static final long TURN_MILLISECONDS = 500;

	private final ProxyContext context;

	private final Exchange exchange;

	private final ExchangeCommand.StartAttempt command;

	private State state = State.CONNECTING;

	private boolean sent;

	private boolean requestSent;

	private boolean informational;

	private boolean notRun;

	private boolean reusable;

	private boolean paused;

	private boolean foreign;

	private boolean skipping;

	private boolean complete;

	private @Nullable ByteBuf body;

	private long sentAt;

	private long headAt;

	private @Nullable BackendConnection connection;

	private @Nullable HttpResponse response;

	private @Nullable ScheduledFuture<?> timer;

	Attempt(ProxyContext context, Exchange exchange, ExchangeCommand.StartAttempt command) {
		this.context = context;
		this.exchange = exchange;
		this.command = command;
	}

	/** Starts to connect. */
	void start() {
		long remaining = this.command.deadline() - this.context.clock().milliseconds();
		if (remaining <= 0) {
			fail("The deadline passed before the attempt", true);
			return;
		}
		if (this.exchange.body().isTaken()) {
			fail("The body was already passed on and is not held in memory", false);
			return;
		}
		this.timer = this.context.eventLoop().schedule(this::timeOut, remaining, TimeUnit.MILLISECONDS);
		this.context.pool().acquire(this.command.server(), this.command.requirement(), this);
	}

	/**
	 * Uses a connection from the pool.
	 * @param lent the connection
	 */
	void connected(BackendConnection lent) {
		if (this.state == State.ENDED) {
			this.context.pool().release(this.command.server(), lent);
			return;
		}
		if (!lent.isActive()) {
			fail("The server closed the connection before the request was sent", false);
			return;
		}
		this.connection = lent;
		lent.lend(this, HttpMethod.HEAD.equals(this.exchange.head().request().method()));
		send(lent);
	}

	/**
	 * Ends the attempt because there is no connection.
	 * @param reason what went wrong
	 */
	void connectFailed(String reason) {
		fail(reason, false);
	}

	private void send(BackendConnection to) {
		long remaining = Math.min(this.command.deadline(), this.exchange.head().deadline())
				- this.context.clock().milliseconds();
		if (remaining <= 0) {
			fail("The deadline passed before the request was sent", true);
			return;
		}
		HttpRequest request = this.exchange.head().request();
		HttpHeaders headers = request.headers();
		headers.set(names().timeLeft(), Long.toString(remaining));
		String expectedServer = names().expectedServer();
		if (expectedServer != null) {
			headers.set(expectedServer, server().value());
		}
		RequestBody body = this.exchange.body();
		this.state = State.AWAITING;
		this.sent = true;
		this.sentAt = System.nanoTime();
		if (this.exchange.isReplayable()) {
			ByteBuf content = body.replay();
			if (content.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
					|| this.exchange.head().contentLength() == AdmittedHead.UNKNOWN_LENGTH) {
				headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
			}
			this.requestSent = true;
			to.write(new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(), content,
					headers, EmptyHttpHeaders.INSTANCE));
		}
		else {
			if (this.exchange.head().contentLength() == AdmittedHead.UNKNOWN_LENGTH) {
				headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			to.write(new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), headers));
			this.exchange.attachBody(this);
		}
		if (this.state != State.ENDED) {
			to.flush();
			to.ask();
		}
	}

	/**
	 * Sends a piece of a streamed body.
	 * @param piece the piece, which this attempt then owns
	 * @param last whether it is the last one
	 */
	void sendBody(ByteBuf piece, boolean last) {
		boolean nothing = !last && !piece.isReadable();
		if (this.connection == null || this.state == State.ENDED || this.requestSent || nothing) {
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

	/** Continues to read the request body after the server has taken some of it. */
	void backendWritable() {
		this.exchange.bodyWanted();
		flushBody();
	}

	/**
	 * Handles a message of the server.
	 * @param message the message, which this attempt then owns
	 */
	void received(HttpObject message) {
		if (this.state == State.ENDED || message.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			fail("The response is malformed: " + message.decoderResult().cause(), false);
			return;
		}
		if (message instanceof HttpResponse head) {
			receivedHead(head);
		}
		else if (message instanceof HttpContent content) {
			receivedContent(content);
		}
	}

	private void receivedHead(HttpResponse head) {
		if (HttpResponseStatus.SWITCHING_PROTOCOLS.equals(head.status())) {
			fail("The server switched protocols without being asked to", false);
		}
		else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.informational = true;
			ask();
		}
		else if (!ResponseChecks.isFramingSound(head.headers())) {
			fail("The response states its length ambiguously", false);
		}
		else if (ResponseChecks.isForeign(head, names(), this.exchange.head().shownId())) {
			// A late or extra response to another request; the own one comes behind it.
			LOG.log(ProxyEvent.FOREIGN_RESPONSE, this.exchange.head().shownId(), server());
			this.foreign = true;
			this.skipping = true;
			ask();
		}
		else {
			acceptHead(head);
		}
	}

	private void acceptHead(HttpResponse head) {
		this.response = head;
		this.headAt = System.nanoTime();
		this.reusable = HttpUtil.isKeepAlive(head) && !this.foreign;
		this.notRun = names().statesNotRun(head);
		if (!this.notRun && !ResponseChecks.isAnswer(head, names())) {
			fail("The response " + head.status().code() + " is not the server's answer to this request", false);
			return;
		}
		long idleLimit = ResponseChecks.idleLimit(head);
		if (idleLimit != ResponseChecks.NO_LIMIT && this.connection != null) {
			this.connection.setIdleLimit(idleLimit - IDLE_MARGIN_MILLISECONDS);
		}
		if (this.context.configuration().limits().heldResponse() > 0) {
			this.state = State.HOLDING;
			ask();
		}
		else {
			reportHead(head);
		}
	}

	private void reportHead(HttpResponse head) {
		this.state = State.HELD;
		int status = head.status().code();
		boolean shed = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
		boolean leaving = ProxyHeaders.LEAVING.equals(HeaderVocabulary.value(head.headers(), names().serverState()))
				|| (shed && !this.reusable);
		this.exchange.report(this, new AttemptReport.ResponseStarted(status, this.notRun, leaving));
	}

	private void hold(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.body == null) {
			this.body = Unpooled.buffer();
		}
		this.body.writeBytes(content.content());
		content.release();
		if (last) {
			this.complete = true;
			giveBack();
		}
		else if (this.body.readableBytes() <= this.context.configuration().limits().heldResponse()) {
			ask();
			return;
		}
		if (this.response != null) {
			reportHead(this.response);
		}
	}

	private void receivedContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.informational || this.skipping) {
			this.informational &= !last;
			this.skipping &= !last;
			content.release();
			ask();
		}
		else if (this.state == State.HOLDING) {
			hold(content);
		}
		else if (this.state != State.RELAYING) {
			content.release();
			fail("The server sent a body without a head", false);
		}
		else if (last) {
			receivedLast(content);
		}
		else {
			this.paused = !this.exchange.relayContent(content);
			if (this.paused) {
				this.exchange.flushResponse();
			}
			else {
				ask();
			}
		}
	}

	private void receivedLast(HttpContent content) {
		this.state = State.FLUSHING;
		giveBack();
		this.exchange.relayLast(this, content.content());
	}

	// Returns the connection after the whole response was received.
	private void giveBack() {
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
		HttpResponse held = this.response;
		if (this.state != State.HELD || held == null) {
			return;
		}
		this.state = State.RELAYING;
		this.exchange.relayHead(this, held);
		ByteBuf received = this.body;
		this.body = null;
		if (this.complete) {
			this.state = State.FLUSHING;
			this.exchange.relayLast(this, (received != null) ? received : Unpooled.EMPTY_BUFFER);
			return;
		}
		if (received != null) {
			this.exchange.relayContent(new DefaultHttpContent(received));
		}
		ask();
		readComplete();
	}

	/** Flushes to the caller what has been relayed, when no more bytes are at hand. */
	void readComplete() {
		if (this.state == State.RELAYING) {
			this.exchange.flushResponse();
		}
	}

	/** Continues to read the response after the caller has taken some of it. */
	void callerWritable() {
		if (this.paused) {
			this.paused = false;
			ask();
			readComplete();
		}
	}

	/**
	 * Ends the attempt because it cannot go on.
	 * @param reason what went wrong
	 * @param timedOut whether the daemon gave up waiting
	 */
	void fail(String reason, boolean timedOut) {
		if (this.state == State.ENDED) {
			return;
		}
		boolean relaying = this.state == State.RELAYING || this.state == State.FLUSHING;
		end();
		this.exchange.attemptFailed(this, this.sent ? new AttemptReport.Broken(relaying, timedOut, reason)
				: new AttemptReport.NothingSent(reason));
	}

	/** Ends the attempt without a report and closes its connection. */
	void end() {
		this.state = State.ENDED;
		this.body = null;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		if (this.connection != null) {
			this.connection.detach();
			this.connection.close();
			this.connection = null;
		}
	}

	private HeaderVocabulary names() {
		return this.context.configuration().headers();
	}

	private void timeOut() {
		if (this.state == State.HELD && this.complete) {
			// The whole response is at hand and about to be relayed.
			return;
		}
		if ((this.paused || this.state == State.FLUSHING) && this.exchange.isWaitingForTurn()) {
			// The server has done its part, and so has the caller.
			this.timer = this.context.eventLoop().schedule(this::timeOut, TURN_MILLISECONDS, TimeUnit.MILLISECONDS);
			return;
		}
		if (this.paused || this.state == State.FLUSHING) {
			// The server has done its part; the caller does not read the response.
			this.exchange.callerTooSlow();
			return;
		}
		fail("The attempt timed out", true);
	}

	private void ask() {
		if (this.connection != null) {
			this.connection.ask();
		}
	}

	int number() {
		return this.command.attempt();
	}

	BackendServerId server() {
		return this.command.server().id();
	}

	/**
	 * Returns how long the server took to answer.
	 * @return the time from the first byte sent to the response head in nanoseconds
	 */
	long serverNanoseconds() {
		return this.headAt - this.sentAt;
	}

	int status() {
		return (this.response != null) ? this.response.status().code() : 0;
	}

	/**
	 * Returns whether the server may have run the request.
	 * @return whether bytes were sent and the server did not state otherwise
	 */
	boolean mayHaveRun() {
		return this.sent && !this.notRun;
	}

	/** Where an attempt stands. */
	private enum State {

		/** Waiting for a connection. */
		CONNECTING,

		/** The request is being sent; waiting for the response head. */
		AWAITING,

		/** The response is being received and nothing of it has been relayed. */
		HOLDING,

		/** The response, or its first part, is held until dispatch decides. */
		HELD,

		/** The response is being relayed. */
		RELAYING,

		/** The whole response has arrived and is being written to the caller. */
		FLUSHING,

		/** Over. */
		ENDED

	}

}
