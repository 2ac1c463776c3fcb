package org.wigeonmast.proxy.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * Queue of decoded messages of a channel without automatic reading, which delivers them
 * one at a time on demand.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: at most one message is
 * delivered for each {@link #requestNext()}; the channel is read only while the queue is
 * empty, so that the queue holds no more than one read; messages that arrived before the
 * end of the connection are delivered before it (Netty's FlowControlHandler drops queued
 * messages when the connection closes, which would truncate a complete response). The
 * depth of the stack does not depend on the number of messages, so that a body of
 * thousands of one-byte chunks cannot overflow it.
 */
final class MessageQueue {

	private final ChannelHandlerContext context;

	private final Consumer<HttpObject> receiver;

	private final Consumer<String> endListener;

	private final Deque<Object> messages = new ArrayDeque<>();

	private boolean nextRequested;

	private boolean delivering;

	private boolean closed;

	/**
	 * Creates a queue.
	 * @param context the context from which the channel is read
	 * @param receiver receives each message and its ownership
	 * @param endListener receives the reason why the connection ended
	 */
	MessageQueue(ChannelHandlerContext context, Consumer<HttpObject> receiver, Consumer<String> endListener) {
		this.context = context;
		this.receiver = receiver;
		this.endListener = endListener;
	}

	/**
	 * Adds a decoded message.
	 * @param message the message
	 */
	void add(Object message) {
		if (this.closed) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.messages.addLast(message);
		deliver();
	}

	/**
	 * Adds the end of the connection, which is delivered without a request.
	 * @param reason why the connection ended
	 */
	void end(String reason) {
		if (!this.closed) {
			this.messages.addLast(new End(reason));
			deliver();
		}
	}

	/** Requests the next message, which may be delivered before this method returns. */
	void requestNext() {
		this.nextRequested = true;
		deliver();
	}

	/** Releases all queued messages and stops delivery. */
	void close() {
		this.closed = true;
		this.messages.forEach(ReferenceCountUtil::release);
		this.messages.clear();
	}

	private void deliver() {
		if (this.delivering) {
			return;
		}
		this.delivering = true;
		try {
			while (!this.messages.isEmpty() && (this.nextRequested || this.messages.peekFirst() instanceof End)) {
				this.nextRequested = false;
				deliver(this.messages.removeFirst());
			}
		}
		finally {
			this.delivering = false;
		}
		if (this.nextRequested && !this.closed) {
			this.context.read();
		}
	}

	private void deliver(Object message) {
		if (message instanceof End end) {
			this.endListener.accept(end.reason());
		}
		else {
			this.receiver.accept((HttpObject) message);
		}
	}

	/**
	 * End of the connection.
	 *
	 * @param reason why it ended
	 */
	private record End(String reason) {
	}

}
