package org.wigeonmast.proxy.internal;

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
 * Thread safety: none; the traffic thread owns it. Invariant: bytes that arrive while no
 * attempt uses the connection close it, so they can never be taken for the response to
 * the next request.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = new EventLog(BackendConnection.class);

	private final BackendResponseDecoder decoder;

	private final ChannelFutureListener writeListener = (future) -> {
		// A connection that closed may still hold the response; its end is reported after
		// it.
		if (!future.isSuccess() && isActive()) {
			fail("Writing failed: " + future.cause());
		}
	};

	private @Nullable ChannelHandlerContext context;

	private @Nullable MessageQueue messages;

	private @Nullable Attempt attempt;

	private long lastProven;

	private long idleLimit = Long.MAX_VALUE;

	BackendConnection(BackendResponseDecoder decoder) {
		this.decoder = decoder;
	}

	/**
	 * Gives the connection to an attempt.
	 * @param user the attempt
	 * @param head whether its request is a HEAD request
	 */
	void lend(Attempt user, boolean head) {
		this.attempt = user;
		this.decoder.setHead(head);
	}

	/** Ends the use by an attempt; a message from now on closes the connection. */
	void detach() {
		this.attempt = null;
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

	/** Asks for the next message of the server. */
	void ask() {
		if (this.messages != null) {
			this.messages.ask();
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
	 * Returns when the server last proved alive on this connection.
	 * @return the monotonic time in milliseconds
	 */
	long lastProven() {
		return this.lastProven;
	}

	/**
	 * Sets how long the server keeps the connection open while it is idle.
	 * @param idleLimit the time in milliseconds
	 */
	void setIdleLimit(long idleLimit) {
		this.idleLimit = idleLimit;
	}

	/**
	 * Returns whether a request may be sent on the connection.
	 * @param now the monotonic time in milliseconds
	 * @return whether it is open and not about to be closed by the server
	 */
	boolean isUsable(long now) {
		return isActive() && now - this.lastProven < this.idleLimit;
	}

	void setLastProven(long lastProven) {
		this.lastProven = lastProven;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.messages = new MessageQueue(added, this::received, this::fail);
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		if (this.messages != null) {
			this.messages.add(message);
		}
	}

	private void received(HttpObject message) {
		if (this.attempt == null) {
			ReferenceCountUtil.release(message);
			LOG.log(ProxyEvent.UNSOLICITED_BYTES, channel().remoteAddress());
			close();
			return;
		}
		this.attempt.received(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext from) {
		if (this.attempt != null) {
			this.attempt.readComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext from) {
		if (this.attempt != null && isWritable()) {
			this.attempt.backendWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext from) {
		end("The server closed the connection");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
		// Bytes that a closed connection makes up for its end come after this.
		end("The connection broke: " + cause);
		from.close();
	}

	private void end(String reason) {
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
