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
		if (!future.isSuccess()) {
			fail("Writing failed: " + future.cause());
		}
	};

	private @Nullable ChannelHandlerContext context;

	private @Nullable MessageReader reader;

	private @Nullable Attempt attempt;

	private long lastProven;

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
		if (this.reader != null) {
			this.reader.ask();
		}
	}

	boolean isWritable() {
		return channel().isWritable();
	}

	boolean isActive() {
		return channel().isActive();
	}

	void close() {
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

	void setLastProven(long lastProven) {
		this.lastProven = lastProven;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.reader = new MessageReader(added);
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object message) {
		if (this.reader != null) {
			this.reader.received();
		}
		if (this.attempt == null) {
			ReferenceCountUtil.release(message);
			LOG.log(ProxyEvent.UNSOLICITED_BYTES, channel().remoteAddress());
			close();
			return;
		}
		this.attempt.received((HttpObject) message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext from) {
		if (this.reader != null) {
			this.reader.readComplete();
		}
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
		fail("The server closed the connection");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
		fail("The connection broke: " + cause);
		close();
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
