package org.wigeonmast.cli.standin;

import java.util.concurrent.Future;

import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/**
 * Request at a stand-in backend server, waiting or running.
 * <p>
 * Thread safety: none; confined to the server's thread.
 */
final class ServerRequest {

	private final ChannelHandlerContext context;

	private final String requestId;

	private final RequestProfile profile;

	private @Nullable Future<?> timer;

	ServerRequest(ChannelHandlerContext context, String requestId, RequestProfile profile) {
		this.context = context;
		this.requestId = requestId;
		this.profile = profile;
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	String requestId() {
		return this.requestId;
	}

	RequestProfile profile() {
		return this.profile;
	}

	void setTimer(Future<?> timer) {
		this.timer = timer;
	}

	void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

}
