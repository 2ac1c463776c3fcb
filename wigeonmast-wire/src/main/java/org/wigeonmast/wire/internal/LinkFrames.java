package org.wigeonmast.wire.internal;

import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Framing of links: each message is preceded by its length in four bytes.
 * <p>
 * Thread safety: stateless.
 */
final class LinkFrames {

	/** Maximum size of a frame before the peer is authenticated. */
	static final int HANDSHAKE_LIMIT_BYTES = 2048;

	/** Maximum size of a frame: a manifest part of one megabyte and its envelope. */
	static final int FRAME_LIMIT_BYTES = 1_100_000;

	private static final String DECODER_NAME = "frameDecoder";

	private LinkFrames() {
	}

	static void addHandshakeCodecs(ChannelPipeline pipeline) {
		pipeline.addLast(DECODER_NAME, newDecoder(HANDSHAKE_LIMIT_BYTES));
		pipeline.addLast(new LengthFieldPrepender(Integer.BYTES));
	}

	static void allowLargeFrames(ChannelPipeline pipeline) {
		pipeline.replace(DECODER_NAME, DECODER_NAME, newDecoder(FRAME_LIMIT_BYTES));
	}

	static ByteBuf encode(MessageLite message) {
		return Unpooled.wrappedBuffer(message.toByteArray());
	}

	static byte[] toBytes(ByteBuf frame) {
		return ByteBufUtil.getBytes(frame);
	}

	private static LengthFieldBasedFrameDecoder newDecoder(int limitBytes) {
		return new LengthFieldBasedFrameDecoder(limitBytes, 0, Integer.BYTES, 0, Integer.BYTES);
	}

}
