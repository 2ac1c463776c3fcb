package org.wigeonmast.daemon.balanced;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Minimal HTTP server for readiness and metrics. It does not use the web framework of the
 * admin interface of a fleet with owners, which would cost more memory and start-up time
 * than the rest of this daemon.
 * <p>
 * Thread safety: immutable; the responder runs on the event loop.
 */
final class StatusServer {

	private static final int MAX_REQUEST_BYTES = 8192;

	private StatusServer() {
	}

	/**
	 * Starts listening.
	 * @param group the event loops
	 * @param address the address to listen on
	 * @param responder returns the response for a path
	 * @throws StatusStartException if the address cannot be bound
	 */
	static void listen(EventLoopGroup group, HostAddress address, Function<String, TextResponse> responder)
			throws StatusStartException {
		try {
			new ServerBootstrap().group(group)
				.channel(NioServerSocketChannel.class)
				.childHandler(new ChannelInitializer<SocketChannel>() {
					@Override
					protected void initChannel(SocketChannel channel) {
						channel.pipeline()
							.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
									new Handler(responder));
					}
				})
				.bind(new InetSocketAddress(address.address(), address.port()))
				.syncUninterruptibly();
		}
		catch (Exception exception) {
			throw new StatusStartException(address, exception);
		}
	}

	/**
	 * A plain text response.
	 *
	 * @param status the HTTP status
	 * @param text the body
	 */
	record TextResponse(HttpResponseStatus status, String text) {
	}

	/** Thrown if the address for readiness or metrics cannot be bound. */
	static final class StatusStartException extends WigeonmastException {

		private StatusStartException(HostAddress address, Exception cause) {
			super(Step.START, address.toString(), "cannot listen for readiness and metrics requests", cause);
		}

	}

	/** Answers the requests of a connection. */
	private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Function<String, TextResponse> responder;

		private Handler(Function<String, TextResponse> responder) {
			this.responder = responder;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			TextResponse answer = this.responder.apply(request.uri());
			byte[] content = answer.text().getBytes(StandardCharsets.UTF_8);
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
					Unpooled.wrappedBuffer(content));
			response.headers()
				.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
				.set(HttpHeaderNames.CONTENT_LENGTH, content.length);
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			HttpUtil.setKeepAlive(response, keepAlive);
			context.writeAndFlush(response)
				.addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// The client closed the connection or does not speak HTTP; no other state
			// depends on this connection.
			context.close();
		}

	}

}
