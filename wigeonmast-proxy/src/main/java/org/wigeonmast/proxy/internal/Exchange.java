package org.wigeonmast.proxy.internal;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.RequestOutcome;
import org.wigeonmast.dispatch.AttemptReport;
import org.wigeonmast.dispatch.ExchangeCommand;
import org.wigeonmast.dispatch.RequestEvent;
import org.wigeonmast.proxy.HeaderConventions;
import org.wigeonmast.proxy.ProxyEvent;

/**
 * One request of a caller, from its head to the end of its response.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: the caller gets the
 * response of at most one attempt; a refusal says {@code not-run} only if no attempt can
 * have run the request.
 */
final class Exchange {

	private static final EventLog LOG = new EventLog(Exchange.class);

	private final ProxyContext context;

	private final CallerEndpoint caller;

	private final AdmittedHead head;

	private final RequestBody body;

	private final List<Attempt> attempts = new ArrayList<>(1);

	private final List<BackendConnection> usedConnections = new ArrayList<>(1);

	private @Nullable Attempt streamingAttempt;

	private @Nullable Attempt relayedAttempt;

	private boolean accepted;

	private boolean replayable;

	private boolean mayHaveRun;

	private boolean ended;

	private long acceptedAtNanos;

	Exchange(ProxyContext context, CallerEndpoint caller, AdmittedHead head) {
		this.context = context;
		this.caller = caller;
		this.head = head;
		this.body = new RequestBody(context);
	}

	/**
	 * Starts to read the body, or passes the request to dispatch at once if its body is
	 * streamed.
	 */
	void start() {
		this.context.startExchange(this.head.id(), this);
		if (this.head.contentLength() > this.context.configuration().limits().replayableBody()) {
			accept(false);
			return;
		}
		if (this.head.expectsContinue()) {
			this.caller.sendContinue();
		}
		this.caller.requestNext();
	}

	/**
	 * Handles a part of the request body.
	 * @param content the part, whose ownership passes to this exchange
	 */
	void onBodyContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		int bytes = content.content().readableBytes();
		if (this.body.receivedBytes() + bytes > this.context.configuration().limits().body()) {
			content.release();
			reject(Problem.BODY_TOO_LARGE, "The body exceeds the limit");
			return;
		}
		this.body.recordReceived(bytes, last);
		if (this.streamingAttempt != null) {
			this.streamingAttempt.sendBody(content.content(), last);
		}
		else {
			boolean buffered = this.accepted || this.body.reserveMemory(bytes);
			this.body.append(content.content());
			if (!this.accepted && (last || !buffered)) {
				accept(last && buffered);
			}
		}
		requestMoreBody();
	}

	/** Requests the next part of the body if there is room for it. */
	void requestMoreBody() {
		if (!this.ended && isAwaitingBody()) {
			this.caller.requestNext();
		}
	}

	private void accept(boolean replayableBody) {
		this.accepted = true;
		this.acceptedAtNanos = System.nanoTime();
		this.replayable = replayableBody;
		this.context.emit(new RequestEvent.Accepted(this.head.describe(replayableBody)));
		if (!this.body.isComplete()) {
			// Reads one part ahead to detect that the caller closes its connection.
			this.caller.requestNext();
		}
	}

	/**
	 * Streams the request body to an attempt.
	 * @param attempt the attempt
	 */
	void attachBody(Attempt attempt) {
		this.streamingAttempt = attempt;
		if (this.head.expectsContinue() && this.body.receivedBytes() == 0) {
			this.caller.sendContinue();
		}
		attempt.sendBody(this.body.takeBuffered(), this.body.isComplete());
		requestMoreBody();
	}

	void flushBody() {
		if (this.streamingAttempt != null) {
			this.streamingAttempt.flushBody();
		}
	}

	/**
	 * Executes a command of dispatch.
	 * @param command the command
	 */
	void execute(ExchangeCommand command) {
		switch (command) {
			case ExchangeCommand.StartAttempt start -> startAttempt(start);
			case ExchangeCommand.Relay relay -> relay(relay.attempt());
			case ExchangeCommand.Abort abort -> abort(abort.attempt());
			case ExchangeCommand.Refuse refuse -> refuse(refuse.outcome());
		}
	}

	private void startAttempt(ExchangeCommand.StartAttempt command) {
		if (this.relayedAttempt != null) {
			return;
		}
		Attempt attempt = new Attempt(this.context, this, command);
		this.attempts.add(attempt);
		attempt.start();
	}

	private void relay(int number) {
		Attempt attempt = findAttempt(number);
		if (attempt != null && this.relayedAttempt == null) {
			attempt.relay();
		}
	}

	private void abort(int number) {
		Attempt attempt = findAttempt(number);
		if (attempt == null) {
			return;
		}
		if (attempt == this.relayedAttempt) {
			attempt.fail("Dispatch ended the attempt", false);
			return;
		}
		attempt.end();
		remove(attempt);
	}

	private void refuse(RequestOutcome outcome) {
		for (Attempt attempt : List.copyOf(this.attempts)) {
			attempt.end();
			remove(attempt);
		}
		if (this.relayedAttempt != null) {
			end(ProxyMetrics.Outcome.BROKEN);
			this.caller.resetConnection();
			return;
		}
		boolean notRun = outcome instanceof RequestOutcome.NotRun && !this.mayHaveRun;
		end(notRun ? ProxyMetrics.Outcome.NOT_RUN : ProxyMetrics.Outcome.UNKNOWN);
		this.caller.respond(createRefusal(outcome), this.body.isComplete());
	}

	private FullHttpResponse createRefusal(RequestOutcome outcome) {
		String id = this.head.externalId();
		return switch (outcome) {
			case RequestOutcome.NotRun notRun when !this.mayHaveRun ->
				ProblemResponses.createNotRun(notRun.reason(), id, notRun.retryAfter(), conventions());
			case RequestOutcome.NotRun notRun -> {
				LOG.log(ProxyEvent.REFUSAL_CORRECTED, this.head.id());
				yield createUnknownRefusal(notRun.reason(), id);
			}
			case RequestOutcome.Unknown unknown -> createUnknownRefusal(unknown.reason(), id);
			case RequestOutcome.Answered answered ->
				createUnknownRefusal("The answer " + answered.status() + " was lost", id);
		};
	}

	private FullHttpResponse createUnknownRefusal(String reason, String id) {
		boolean late = this.context.clock().milliseconds() >= this.head.deadline();
		return ProblemResponses.create(late ? Problem.DEADLINE_PASSED : Problem.UNKNOWN, reason, id, true,
				conventions());
	}

	/**
	 * Starts to relay a response to the caller.
	 * @param attempt the attempt
	 * @param response the response
	 */
	void relayHead(Attempt attempt, HttpResponse response) {
		this.relayedAttempt = attempt;
		boolean noAttemptRan = !this.mayHaveRun && !attempt.mayHaveRun();
		for (Attempt other : List.copyOf(this.attempts)) {
			if (other != attempt) {
				noAttemptRan &= !other.mayHaveRun();
				other.end();
				remove(other);
			}
		}
		if (!noAttemptRan) {
			response.headers().remove(conventions().execution());
		}
		this.caller.respondHead(response, this.head.externalId(), this.body.isComplete());
		long elapsed = System.nanoTime() - this.acceptedAtNanos;
		this.context.metrics().recordAddedLatency(elapsed - attempt.serverTimeNanos());
	}

	/**
	 * Relays a part of the response body.
	 * @param content the part, whose ownership passes to the caller's connection
	 * @return whether the caller's connection is writable
	 */
	boolean relayContent(HttpContent content) {
		return this.caller.respondContent(content);
	}

	/**
	 * Relays the end of the response.
	 * @param attempt the attempt
	 * @param content the last part, whose ownership passes to the caller's connection
	 */
	void relayLast(Attempt attempt, ByteBuf content) {
		this.caller.respondLast(content, () -> onCompleted(attempt));
	}

	private void onCompleted(Attempt attempt) {
		if (this.ended) {
			return;
		}
		attempt.end();
		end(ProxyMetrics.Outcome.ANSWERED);
		report(attempt, new AttemptReport.Completed(attempt.status()));
		this.caller.onExchangeEnded();
	}

	void flushResponse() {
		this.caller.flush();
	}

	/** Resumes relaying once the caller's connection is writable again. */
	void onCallerWritable() {
		if (this.relayedAttempt != null) {
			this.relayedAttempt.onCallerWritable();
		}
	}

	/**
	 * Reports the progress of an attempt to dispatch.
	 * @param attempt the attempt
	 * @param report the report
	 */
	void report(Attempt attempt, AttemptReport report) {
		this.context.emit(new RequestEvent.AttemptProgress(this.head.id(), attempt.number(), report));
	}

	/**
	 * Handles the end of an attempt without a complete response.
	 * @param attempt the attempt
	 * @param report the report
	 */
	void onAttemptFailed(Attempt attempt, AttemptReport report) {
		remove(attempt);
		if (attempt == this.relayedAttempt) {
			LOG.log(ProxyEvent.TRANSFER_BROKEN, this.head.id(), attempt.server(), report);
			end(ProxyMetrics.Outcome.BROKEN);
			this.caller.resetConnection();
		}
		report(attempt, report);
	}

	/** Ends the exchange because the caller closed its connection. */
	void onCallerLeft() {
		endWithoutResponse(ProxyMetrics.Outcome.CALLER_LEFT);
	}

	private void endWithoutResponse(ProxyMetrics.Outcome outcome) {
		if (this.ended) {
			return;
		}
		end(outcome);
		if (this.accepted) {
			this.context.emit(new RequestEvent.CallerLeft(this.head.id()));
		}
	}

	/** Ends the exchange because the caller does not read its response. */
	void onCallerTooSlow() {
		onCallerLeft();
		this.caller.resetConnection();
	}

	/**
	 * Ends the exchange because the request body is invalid, too large or too slow.
	 * Dispatch receives {@code CallerLeft}.
	 * @param problem the kind of problem
	 * @param detail the cause
	 */
	void reject(Problem problem, String detail) {
		boolean responseStarted = this.relayedAttempt != null;
		this.attempts.forEach((attempt) -> this.mayHaveRun |= attempt.mayHaveRun());
		endWithoutResponse(ProxyMetrics.Outcome.REJECTED);
		if (responseStarted) {
			this.caller.resetConnection();
			return;
		}
		this.caller.respond(
				ProblemResponses.create(problem, detail, this.head.externalId(), this.mayHaveRun, conventions()),
				false);
	}

	/**
	 * Returns whether responses to earlier requests must be written first.
	 * @return whether the response must wait
	 */
	boolean isWaitingForTurn() {
		return this.caller.isWaitingForTurn();
	}

	/**
	 * Records that an attempt uses a connection.
	 * @param connection the connection
	 */
	void recordConnection(BackendConnection connection) {
		this.usedConnections.add(connection);
	}

	/**
	 * Returns whether an attempt has used a connection.
	 * @param connection the connection
	 * @return whether the request was sent on it
	 */
	boolean hasUsed(BackendConnection connection) {
		return this.usedConnections.contains(connection);
	}

	AdmittedHead head() {
		return this.head;
	}

	RequestBody body() {
		return this.body;
	}

	boolean isReplayable() {
		return this.replayable;
	}

	/**
	 * Returns whether the exchange waits for the next part of the request body.
	 * @return whether the caller's connection is being read
	 */
	boolean isAwaitingBody() {
		return !this.body.isComplete()
				&& ((this.streamingAttempt != null) ? this.streamingAttempt.isWritable() : !this.accepted);
	}

	boolean isAccepted() {
		return this.accepted;
	}

	private void end(ProxyMetrics.Outcome outcome) {
		this.ended = true;
		this.context.endExchange(this.head.id(), outcome);
		for (Attempt attempt : List.copyOf(this.attempts)) {
			attempt.end();
		}
		this.attempts.clear();
		this.body.release();
	}

	private void remove(Attempt attempt) {
		this.attempts.remove(attempt);
		this.mayHaveRun |= attempt.mayHaveRun();
		if (this.streamingAttempt == attempt) {
			this.streamingAttempt = null;
		}
	}

	private HeaderConventions conventions() {
		return this.context.configuration().headers();
	}

	private @Nullable Attempt findAttempt(int number) {
		for (Attempt attempt : this.attempts) {
			if (attempt.number() == number) {
				return attempt;
			}
		}
		return null;
	}

}
