package org.wigeonmast.proxy.internal;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;

/**
 * Initializer of the channel pipeline for connections of callers.
 * <p>
 * Thread safety: immutable; runs on the traffic thread.
 */
public final class CallerInitializer extends ChannelInitializer<SocketChannel> {

	private final ProxyContext context;

	/**
	 * Creates an initializer.
	 * @param context the shared state of the proxy
	 */
	public CallerInitializer(ProxyContext context) {
		this.context = context;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		CallerResponseEncoder encoder = new CallerResponseEncoder();
		CallerConnection connection = new CallerConnection(this.context, encoder);
		channel.pipeline()
			.addLast(encoder,
					new CallerRequestDecoder(this.context.configuration().limits(), connection::onHeadStarted),
					connection);
	}

}
