package org.wigeonmast.bench.path;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.HostAddress;

/**
 * Client with persistent connections to one address.
 * <p>
 * Thread safety: {@link #send(LongConsumer)} can be called from any thread; connections
 * belong to the client's own thread.
 */
final class BenchClient implements AutoCloseable {

	/** Result of a request that failed. */
	static final long FAILED = -1;

	private static final int RESPONSE_BYTES = 1024 * 1024;

	private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("bench-client"));

	private final EventLoop eventLoop = this.group.next();

	private final HostAddress target;

	private final Deque<Calling> idle = new ArrayDeque<>();

	/**
	 * Creates a client.
	 * @param target the address to call
	 */
	BenchClient(HostAddress target) {
		this.target = target;
	}

	/**
	 * Sends a request.
	 * @param completed takes the time of completion by {@link System#nanoTime()}, or
	 * {@link #FAILED}; runs on the client's thread
	 */
	void send(LongConsumer completed) {
		this.eventLoop.execute(() -> {
			Calling connection = this.idle.pollLast();
			if (connection != null) {
				connection.call(completed);
			}
			else {
				connect(completed);
			}
		});
	}

	private void connect(LongConsumer completed) {
		Calling connection = new Calling();
		new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new HttpObjectAggregator(RESPONSE_BYTES), connection);
				}

			})
			.connect(new InetSocketAddress(this.target.address(), this.target.port()))
			.addListener((ChannelFutureListener) (future) -> {
				if (future.isSuccess()) {
					connection.channel = future.channel();
					connection.call(completed);
				}
				else {
					completed.accept(FAILED);
				}
			});
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/** One connection, which carries one request at a time. */
	private final class Calling extends SimpleChannelInboundHandler<FullHttpResponse> {

		private @Nullable Channel channel;

		private @Nullable LongConsumer completed;

		private void call(LongConsumer next) {
			this.completed = next;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
					"/board/today?view=short", Unpooled.EMPTY_BUFFER);
			request.headers()
				.set(HttpHeaderNames.HOST, "board.example")
				.set(HttpHeaderNames.ACCEPT, "application/json")
				.set(HttpHeaderNames.USER_AGENT, "wigeonmast-bench")
				.set("Caller-Id", "desk-1");
			if (this.channel != null) {
				this.channel.writeAndFlush(request);
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			boolean success = HttpResponseStatus.OK.equals(response.status());
			BenchClient.this.idle.addLast(this);
			complete(success ? System.nanoTime() : FAILED);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			BenchClient.this.idle.remove(this);
			complete(FAILED);
		}

		private void complete(long time) {
			LongConsumer waiting = this.completed;
			this.completed = null;
			if (waiting != null) {
				waiting.accept(time);
			}
		}

	}

}
