package org.wigeonmast.proxy.internal;

import java.nio.channels.ClosedChannelException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.proxy.ProxyEvent;

/**
 * Connection to a backend server, which carries one attempt at a time.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: bytes that arrive while no
 * attempt uses the connection close it, so that they are never mistaken for the response
 * to the next request; a response without length is complete only if the server ended the
 * stream, not if the connection broke.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = new EventLog(BackendConnection.class);

	private final BackendResponseDecoder decoder;

	private final ChannelFutureListener writeListener = (future) -> {
		if (!future.isSuccess()) {
			onWriteFailed(future.cause());
		}
	};

	private @Nullable ChannelHandlerContext context;

	private @Nullable MessageQueue messages;

	private @Nullable Attempt attempt;

	private int attachedAttempts;

	private long lastProven;

	private long idleLimitMs = Long.MAX_VALUE;

	BackendConnection(BackendResponseDecoder decoder) {
		this.decoder = decoder;
	}

	/**
	 * Attaches an attempt, which then receives all messages.
	 * @param newAttempt the attempt
	 * @param headRequest whether its request is a HEAD request
	 */
	void attach(Attempt newAttempt, boolean headRequest) {
		this.attempt = newAttempt;
		this.attachedAttempts++;
		this.decoder.awaitAnswer(headRequest);
	}

	/**
	 * Returns whether no other attempt has used the connection, so that no response to
	 * another request can arrive on it.
	 * @return whether at most one attempt was attached
	 */
	boolean isFirstAttempt() {
		return this.attachedAttempts <= 1;
	}

	/** Detaches the attempt; any further message closes the connection. */
	void detach() {
		this.attempt = null;
		this.decoder.awaitAnswer(false);
	}

	/** Records that the last response head belongs to the attempt's answer. */
	void onAnswerStarted() {
		this.decoder.onAnswerStarted();
	}

	/**
	 * Writes a message without flushing.
	 * @param message the message
	 */
	void write(Object message) {
		context().write(message).addListener(this.writeListener);
	}

	void flush() {
		context().flush();
	}

	/** Requests the next message from the server. */
	void requestNext() {
		if (this.messages != null) {
			this.messages.requestNext();
		}
	}

	boolean isWritable() {
		return channel().isWritable();
	}

	boolean isActive() {
		return channel().isActive();
	}

	void close() {
		if (this.messages != null) {
			this.messages.close();
		}
		channel().close();
	}

	Channel channel() {
		return context().channel();
	}

	/**
	 * Returns when the connection was established or last completed a response.
	 * @return the monotonic time in milliseconds
	 */
	long lastProven() {
		return this.lastProven;
	}

	/**
	 * Sets how long the connection may be idle before it is no longer used.
	 * @param idleLimitMs the time in milliseconds
	 */
	void setIdleLimit(long idleLimitMs) {
		this.idleLimitMs = idleLimitMs;
	}

	/**
	 * Returns whether a request may be sent on the connection.
	 * @param now the current monotonic time in milliseconds
	 * @return whether it is open and not about to be closed by the server
	 */
	boolean isUsable(long now) {
		return isActive() && !this.decoder.hasBytesAfterAnswer() && now - this.lastProven < this.idleLimitMs;
	}

	void setLastProven(long lastProven) {
		this.lastProven = lastProven;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
		this.messages = new MessageQueue(ctx, this::onMessage, this::fail);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.messages != null) {
			this.messages.add(message);
		}
	}

	private void onMessage(HttpObject message) {
		if (this.attempt == null) {
			ReferenceCountUtil.release(message);
			LOG.log(ProxyEvent.UNSOLICITED_BYTES, channel().remoteAddress());
			close();
			return;
		}
		this.attempt.onMessage(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.attempt != null) {
			this.attempt.onReadComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.attempt != null && isWritable()) {
			this.attempt.onBackendWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		queueEnd("The server closed the connection");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// The end is queued first, so that it precedes messages the decoder generates on
		// close.
		queueEnd("The connection broke: " + cause);
		ctx.close();
	}

	private void onWriteFailed(Throwable cause) {
		if (isActive()) {
			fail("Writing failed: " + cause);
		}
		else if (!(cause instanceof ClosedChannelException)) {
			// The server reset the connection, and the failed write closed the channel
			// before the reset was read. The decoder then ends a response without length
			// as if the server had; the end that is queued first makes it incomplete.
			queueEnd("The connection broke: " + cause);
		}
		// Otherwise the channel was closed after the server's end of stream, which
		// follows the messages that are still queued.
	}

	private void queueEnd(String reason) {
		if (this.messages != null) {
			this.messages.end(reason);
		}
	}

	private void fail(String reason) {
		if (this.attempt != null) {
			this.attempt.fail(reason, false);
		}
	}

	private ChannelHandlerContext context() {
		if (this.context == null) {
			throw new IllegalStateException("The connection has no channel yet");
		}
		return this.context;
	}

}
