package org.wigeonmast.cli.standin;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.wigeonmast.core.HostAddress;

/**
 * Single-threaded HTTP server on the loopback address.
 * <p>
 * Thread safety: usable from any thread. Invariant: all handlers run on
 * {@link #executor()}, so their shared state needs no locks.
 */
final class LoopbackServer implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int MAX_BODY_BYTES = 8_000_000;

	private static final int BACKLOG = 1_024;

	private final EventLoopGroup group;

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final Channel listener;

	LoopbackServer(String name, int port, Supplier<ChannelHandler> handlers) throws InterruptedException {
		this.group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
		this.listener = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					LoopbackServer.this.channels.add(channel);
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), handlers.get());
				}

			})
			.bind(LOOPBACK, port)
			.sync()
			.channel();
	}

	HostAddress address() {
		return new HostAddress(LOOPBACK, ((InetSocketAddress) this.listener.localAddress()).getPort());
	}

	EventExecutor executor() {
		return this.group.next();
	}

	/**
	 * Closes all open connections. New connections are still accepted.
	 */
	void closeConnections() {
		this.channels.close();
	}

	@Override
	public void close() {
		this.listener.close();
		this.channels.close();
		this.group.shutdownGracefully();
	}

}
