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
 * Small HTTP server for readiness and metrics. It is not the operators' interface of the
 * fleet with owners, whose web framework would cost more memory and start-up time than
 * the rest of this daemon.
 * <p>
 * Thread safety: immutable; the given function runs on the event loop.
 */
final class StatusServer {

	private static final int MAX_REQUEST_BYTES = 8192;

	private StatusServer() {
	}

	/**
	 * Listens.
	 * @param group the event loops
	 * @param address where to listen
	 * @param responder gives the answer to a path
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
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param text the text
	 */
	record TextResponse(HttpResponseStatus status, String text) {
	}

	/** Failure to listen for questions about the status. */
	static final class StatusStartException extends WigeonmastException {

		private StatusStartException(HostAddress address, Exception cause) {
			super(Step.START, address.toString(), "cannot listen for questions about the status", cause);
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
			// The one who asked is gone or speaks another protocol; nothing depends on
			// it.
			context.close();
		}

	}

}
