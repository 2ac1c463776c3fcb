package org.wigeonmast.bench.path;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.wigeonmast.core.HostAddress;

/**
 * Backend server that answers each request after a fixed time of service.
 * <p>
 * Thread safety: usable from any thread.
 */
final class StandInServer implements AutoCloseable {

	private static final int REQUEST_BYTES = 1024 * 1024;

	private static final int BACKLOG = 1024;

	private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("bench-server"));

	private final Channel listener;

	private final byte[] body;

	private volatile long serviceMicroseconds;

	/**
	 * Starts a server.
	 * @param serviceMicroseconds the time of service in microseconds, 0 to answer at once
	 * @param bodyBytes the size of each response body
	 */
	StandInServer(long serviceMicroseconds, int bodyBytes) {
		this.serviceMicroseconds = serviceMicroseconds;
		this.body = new byte[bodyBytes];
		this.listener = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(REQUEST_BYTES), new Answering());
				}

			})
			.bind("127.0.0.1", 0)
			.syncUninterruptibly()
			.channel();
	}

	HostAddress address() {
		return new HostAddress("127.0.0.1", ((InetSocketAddress) this.listener.localAddress()).getPort());
	}

	void setServiceMicroseconds(long serviceMicroseconds) {
		this.serviceMicroseconds = serviceMicroseconds;
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/** Answers requests. */
	private final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			long service = StandInServer.this.serviceMicroseconds;
			if (service == 0) {
				answer(context);
			}
			else {
				context.executor().schedule(() -> answer(context), service, TimeUnit.MICROSECONDS);
			}
		}

		private void answer(ChannelHandlerContext context) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.wrappedBuffer(StandInServer.this.body));
			response.headers()
				.set(HttpHeaderNames.CONTENT_LENGTH, StandInServer.this.body.length)
				.set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
			context.writeAndFlush(response);
		}

	}

}
