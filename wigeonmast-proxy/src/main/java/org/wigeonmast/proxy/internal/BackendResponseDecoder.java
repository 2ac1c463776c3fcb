package org.wigeonmast.proxy.internal;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.wigeonmast.proxy.ProxyConfiguration;

/**
 * Decoder for responses of backend servers.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariant: the bytes that are decoded
 * without leading to the answer of a request are limited. Header fields and lines have
 * limits of their own, but white space, informational responses and responses to other
 * requests may precede an answer in any number.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {

	/**
	 * Maximum size of what precedes an answer; a late response to another request counts.
	 */
	private static final int MAX_BYTES_BEFORE_ANSWER = 2 << 20;

	private boolean headRequest;

	private boolean answerStarted;

	private long bytesBeforeAnswer;

	BackendResponseDecoder(ProxyConfiguration.Limits limits) {
		super(CallerRequestDecoder.decoderConfiguration(limits));
	}

	/**
	 * Starts to wait for the answer to a request, or for the end of an idle connection.
	 * @param headRequest whether it is a HEAD request, whose response has no body
	 */
	void awaitAnswer(boolean headRequest) {
		this.headRequest = headRequest;
		this.answerStarted = false;
		this.bytesBeforeAnswer = 0;
	}

	/**
	 * Returns whether bytes have arrived since the last answer.
	 * @return whether some were decoded or wait for the rest of their line
	 */
	boolean hasBytesAfterAnswer() {
		return this.bytesBeforeAnswer > 0 || actualReadableBytes() > 0;
	}

	/** Records that the last response head belongs to the answer. */
	void onAnswerStarted() {
		this.answerStarted = true;
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
		int start = bytes.readerIndex();
		super.decode(ctx, bytes, out);
		if (!this.answerStarted) {
			this.bytesBeforeAnswer += bytes.readerIndex() - start;
			if (this.bytesBeforeAnswer > MAX_BYTES_BEFORE_ANSWER) {
				throw new TooLongFrameException("No answer within " + MAX_BYTES_BEFORE_ANSWER + " bytes");
			}
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("The message has both Content-Length and Transfer-Encoding");
	}

}
