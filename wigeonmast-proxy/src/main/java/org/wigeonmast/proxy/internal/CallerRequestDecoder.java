package org.wigeonmast.proxy.internal;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.wigeonmast.proxy.ProxyConfiguration;

/**
 * Decoder for requests of callers, which rejects those that another implementation could
 * parse differently (request smuggling).
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariant: after a failure nothing
 * more is decoded.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

	private final Runnable headStartListener;

	private boolean inHead;

	private boolean inBody;

	private boolean failed;

	CallerRequestDecoder(ProxyConfiguration.Limits limits, Runnable headStartListener) {
		super(decoderConfiguration(limits));
		this.headStartListener = headStartListener;
	}

	static HttpDecoderConfig decoderConfiguration(ProxyConfiguration.Limits limits) {
		return new HttpDecoderConfig().setMaxInitialLineLength(limits.requestLine())
			.setMaxHeaderSize(limits.headers())
			.setStrictLineParsing(true)
			.setUseRfc9112TransferEncoding(true);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
		if (this.failed) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		if (!this.inBody) {
			checkHeadLines(bytes);
		}
		int before = out.size();
		super.decode(ctx, bytes, out);
		for (int i = before; i < out.size(); i++) {
			Object message = out.get(i);
			if (message instanceof HttpRequest) {
				this.inBody = true;
				this.inHead = false;
			}
			if (message instanceof LastHttpContent) {
				this.inBody = false;
			}
		}
	}

	/**
	 * Fails on lines that begin with white space (obsolete folding), which the decoder
	 * would join to the previous line. The decoder consumes whole lines, so the bytes
	 * start at the beginning of a line.
	 * @param bytes the bytes that are not decoded yet
	 */
	private void checkHeadLines(ByteBuf bytes) {
		if (!this.inHead && bytes.forEachByte((next) -> next == '\r' || next == '\n') >= 0) {
			this.inHead = true;
			this.headStartListener.run();
		}
		int line = bytes.readerIndex();
		int end = bytes.writerIndex();
		while (line < end) {
			byte first = bytes.getByte(line);
			if (first == ' ' || first == '\t') {
				this.failed = true;
				throw new IllegalArgumentException("A line of the head begins with white space");
			}
			boolean empty = first == '\r' || first == '\n';
			int lineFeed = bytes.indexOf(line, end, (byte) '\n');
			if (lineFeed < 0 || (empty && line > bytes.readerIndex())) {
				return;
			}
			line = lineFeed + 1;
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("The request has both Content-Length and Transfer-Encoding");
	}

}
