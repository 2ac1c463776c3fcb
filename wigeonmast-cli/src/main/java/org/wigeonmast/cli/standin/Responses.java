package org.wigeonmast.cli.standin;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Factory and sender of the HTTP responses of the stand-ins.
 * <p>
 * Thread safety: stateless.
 */
final class Responses {

	private Responses() {
	}

	static FullHttpResponse create(HttpResponseStatus status, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		if (status.code() != HttpResponseStatus.NOT_MODIFIED.code()) {
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		return response;
	}

	static FullHttpResponse createText(HttpResponseStatus status, String text) {
		FullHttpResponse response = create(status, text.getBytes(StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
		return response;
	}

	static void send(ChannelHandlerContext context, FullHttpResponse response) {
		ChannelFuture written = context.writeAndFlush(response);
		if (response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
	}

}
