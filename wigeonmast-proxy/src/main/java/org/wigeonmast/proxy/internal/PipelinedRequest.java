package org.wigeonmast.proxy.internal;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Idempotent request without a body that is processed before earlier requests on the same
 * connection are answered.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: nothing is written to the
 * connection before the request's turn; pending writes then run in their original order;
 * a streamed response is no longer read from the server once {@link #MAX_BUFFERED_BYTES}
 * is exceeded.
 */
final class PipelinedRequest implements CallerEndpoint {

	/** Maximum size of a streamed response that is buffered before its turn. */
	private static final int MAX_BUFFERED_BYTES = 64 * 1024;

	private final CallerConnection connection;

	private final AdmittedHead head;

	private final LastHttpContent lastContent;

	private final List<Runnable> pendingWrites = new ArrayList<>();

	private final List<Object> ownedMessages = new ArrayList<>();

	private @Nullable Exchange exchange;

	private int bufferedBytes;

	private boolean contentDelivered;

	private boolean paused;

	private boolean broken;

	private boolean atTurn;

	PipelinedRequest(CallerConnection connection, AdmittedHead head, LastHttpContent lastContent) {
		this.connection = connection;
		this.head = head;
		this.lastContent = lastContent;
	}

	/**
	 * Starts the exchange.
	 * @param context the shared state of the proxy
	 */
	void start(ProxyContext context) {
		Exchange newExchange = new Exchange(context, this, this.head);
		this.exchange = newExchange;
		newExchange.start();
	}

	/**
	 * Runs the pending writes after all earlier requests have been answered.
	 */
	void onTurn() {
		this.atTurn = true;
		if (this.broken) {
			releaseOwnedMessages();
			this.connection.closeAfterAnswers();
			return;
		}
		this.ownedMessages.clear();
		List.copyOf(this.pendingWrites).forEach(Runnable::run);
		this.pendingWrites.clear();
		if (this.paused && this.exchange != null) {
			this.exchange.onCallerWritable();
		}
	}

	/** Ends the exchange because the connection closed before the request's turn. */
	void onCallerLeft() {
		this.broken = true;
		if (this.exchange != null) {
			this.exchange.onCallerLeft();
		}
		releaseOwnedMessages();
	}

	@Nullable Exchange exchange() {
		return this.exchange;
	}

	boolean keepAlive() {
		return this.head.keepAlive();
	}

	@Override
	public void sendContinue() {
		throw new IllegalStateException("A request without body expects nothing");
	}

	@Override
	public void requestNext() {
		if (!this.contentDelivered && this.exchange != null) {
			this.contentDelivered = true;
			this.exchange.onBodyContent(this.lastContent);
		}
	}

	@Override
	public void respond(FullHttpResponse response, boolean requestComplete) {
		writeInTurn(response, () -> this.connection.respond(response, requestComplete));
	}

	@Override
	public void respondHead(HttpResponse response, String requestId, boolean requestComplete) {
		writeInTurn(null, () -> this.connection.respondHead(response, requestId, requestComplete));
	}

	@Override
	public boolean respondContent(HttpContent content) {
		if (this.atTurn) {
			return this.connection.respondContent(content);
		}
		this.bufferedBytes += content.content().readableBytes();
		writeInTurn(content, () -> this.connection.respondContent(content));
		this.paused = this.bufferedBytes > MAX_BUFFERED_BYTES;
		return !this.paused;
	}

	@Override
	public void respondLast(ByteBuf content, Runnable completed) {
		writeInTurn(content, () -> this.connection.respondLast(content, completed));
	}

	@Override
	public void onExchangeEnded() {
		this.connection.onExchangeEnded();
	}

	@Override
	public void flush() {
		if (this.atTurn) {
			this.connection.flush();
		}
	}

	@Override
	public void resetConnection() {
		if (this.atTurn) {
			this.connection.resetConnection();
		}
		else {
			this.broken = true;
		}
	}

	@Override
	public boolean isWaitingForTurn() {
		return !this.atTurn;
	}

	private void writeInTurn(@Nullable Object message, Runnable write) {
		if (this.atTurn) {
			write.run();
		}
		else if (this.broken) {
			ReferenceCountUtil.release(message);
		}
		else {
			this.pendingWrites.add(write);
			if (message != null) {
				this.ownedMessages.add(message);
			}
		}
	}

	private void releaseOwnedMessages() {
		this.ownedMessages.forEach(ReferenceCountUtil::release);
		this.ownedMessages.clear();
		this.pendingWrites.clear();
	}

}
