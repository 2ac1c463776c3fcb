package org.wigeonmast.proxy.internal;

import io.netty.channel.ChannelHandlerContext;

/**
 * Asks a channel whose automatic reading is off for one message at a time.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariants: at most one message is
 * asked for at a time, however often {@link #ask()} is called, because Netty's
 * FlowControlHandler counts the reads; the depth of the stack does not depend on the
 * number of queued messages, so that a body of thousands of one-byte chunks cannot
 * overflow it.
 */
final class MessageReader {

	private final ChannelHandlerContext context;

	private boolean asking;

	private boolean wanted;

	private boolean outstanding;

	MessageReader(ChannelHandlerContext context) {
		this.context = context;
	}

	/** Notes that a message was delivered. */
	void received() {
		this.outstanding = false;
	}

	/**
	 * Asks again after a read that completed without a message, for which
	 * FlowControlHandler forgets what was asked.
	 */
	void readComplete() {
		if (this.outstanding) {
			this.outstanding = false;
			ask();
		}
	}

	/**
	 * Asks for the next message, which may be delivered before this returns. Has no
	 * effect while a message that was asked for has not been delivered.
	 */
	void ask() {
		if (this.outstanding) {
			return;
		}
		this.wanted = true;
		if (this.asking) {
			return;
		}
		this.asking = true;
		try {
			while (this.wanted) {
				this.wanted = false;
				this.outstanding = true;
				this.context.read();
			}
		}
		finally {
			this.asking = false;
		}
	}

}
