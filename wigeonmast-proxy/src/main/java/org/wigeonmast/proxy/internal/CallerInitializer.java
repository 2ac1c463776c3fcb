package org.wigeonmast.proxy.internal;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;

/**
 * Sets up the handlers of a new connection of a caller.
 * <p>
 * Thread safety: immutable; runs on the traffic thread.
 */
public final class CallerInitializer extends ChannelInitializer<SocketChannel> {

	private final ProxyContext context;

	/**
	 * Creates an initializer.
	 * @param context what connections share
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
