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
 * An idempotent request without a body that is worked on before the requests ahead of it
 * on the same connection are answered.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: nothing is written to the
 * connection before the request's turn; what was to be written is then written in the
 * same order; a response that is not held as a whole waits at its server once
 * {@link #LARGEST_BUFFER} is exceeded.
 */
final class PipelinedRequest implements CallerSide {

	/** Bytes of a streamed response that are buffered before its turn. */
	private static final int LARGEST_BUFFER = 64 * 1024;

	private final CallerConnection connection;

	private final AdmittedHead head;

	private final LastHttpContent end;

	private final List<Runnable> waiting = new ArrayList<>();

	private final List<Object> owned = new ArrayList<>();

	private @Nullable Exchange exchange;

	private int buffered;

	private boolean asked;

	private boolean paused;

	private boolean broken;

	private boolean turn;

	PipelinedRequest(CallerConnection connection, AdmittedHead head, LastHttpContent end) {
		this.connection = connection;
		this.head = head;
		this.end = end;
	}

	/**
	 * Begins to work on the request.
	 * @param context what connections share
	 */
	void begin(ProxyContext context) {
		Exchange begun = new Exchange(context, this, this.head);
		this.exchange = begun;
		begun.begin();
	}

	/**
	 * Writes what waits, because the requests ahead are answered.
	 */
	void takeTurn() {
		this.turn = true;
		if (this.broken) {
			dropOwned();
			this.connection.breakTransfer();
			return;
		}
		this.owned.clear();
		List.copyOf(this.waiting).forEach(Runnable::run);
		this.waiting.clear();
		if (this.paused && this.exchange != null) {
			this.exchange.callerWritable();
		}
	}

	/** Ends the work because the connection ends before the request's turn. */
	void callerLeft() {
		this.broken = true;
		if (this.exchange != null) {
			this.exchange.callerLeft();
		}
		dropOwned();
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
	public void ask() {
		if (!this.asked && this.exchange != null) {
			this.asked = true;
			this.exchange.content(this.end);
		}
	}

	@Override
	public void respond(FullHttpResponse response, boolean requestComplete) {
		inTurn(response, () -> this.connection.respond(response, requestComplete));
	}

	@Override
	public void respondHead(HttpResponse response, String requestId, boolean requestComplete) {
		inTurn(null, () -> this.connection.respondHead(response, requestId, requestComplete));
	}

	@Override
	public boolean respondContent(HttpContent content) {
		if (this.turn) {
			return this.connection.respondContent(content);
		}
		this.buffered += content.content().readableBytes();
		inTurn(content, () -> this.connection.respondContent(content));
		this.paused = this.buffered > LARGEST_BUFFER;
		return !this.paused;
	}

	@Override
	public void respondLast(ByteBuf content, Runnable completed) {
		inTurn(content, () -> this.connection.respondLast(content, completed));
	}

	@Override
	public void exchangeEnded() {
		this.connection.exchangeEnded();
	}

	@Override
	public void flush() {
		if (this.turn) {
			this.connection.flush();
		}
	}

	@Override
	public void breakTransfer() {
		if (this.turn) {
			this.connection.breakTransfer();
		}
		else {
			this.broken = true;
		}
	}

	@Override
	public boolean isWaitingForTurn() {
		return !this.turn;
	}

	private void inTurn(@Nullable Object message, Runnable write) {
		if (this.turn) {
			write.run();
		}
		else if (this.broken) {
			ReferenceCountUtil.release(message);
		}
		else {
			this.waiting.add(write);
			if (message != null) {
				this.owned.add(message);
			}
		}
	}

	private void dropOwned() {
		this.owned.forEach(ReferenceCountUtil::release);
		this.owned.clear();
		this.waiting.clear();
	}

}
