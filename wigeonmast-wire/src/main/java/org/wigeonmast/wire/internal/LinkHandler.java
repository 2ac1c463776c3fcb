package org.wigeonmast.wire.internal;

import java.net.SocketAddress;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.wire.LinkRejectedException;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.WireEvent;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Hello;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Payload;

/**
 * Base class of the handlers of both ends of a link: common parts of the handshake, error
 * handling and idle events.
 * <p>
 * Thread safety: used by one event loop. Invariant: only handshake frames are read before
 * the peer has proved that it holds the key.
 */
abstract class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {

	/**
	 * Version of the protocol; a peer with another version is accepted if its proof
	 * matches.
	 */
	static final int PROTOCOL_VERSION = 1;

	/** Slice number of keep-alive frames, which carry no message. */
	static final int KEEP_ALIVE_SLICE = 0;

	private static final int NONCE_LENGTH_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final EventLog log = new EventLog(LinkHandler.class);

	private final LinkSettings settings;

	LinkHandler(LinkSettings settings) {
		this.settings = settings;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws LinkRejectedException {
		try {
			receive(context, LinkFrames.toBytes(frame));
		}
		catch (InvalidProtocolBufferException exception) {
			throw new LinkRejectedException(peerAddress(context), false, "the frame is not a valid message");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		String peer = peerAddress(context);
		if (cause instanceof LinkRejectedException rejected && rejected.isAuthenticationFailure()) {
			this.log.log(WireEvent.AUTHENTICATION_FAILED, peer, cause.getMessage());
		}
		else if (cause instanceof LinkRejectedException || cause instanceof TooLongFrameException) {
			this.log.log(WireEvent.FRAME_REJECTED, peer, cause.getMessage());
		}
		context.close();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof IdleStateEvent idle) {
			onIdle(context, idle);
		}
		else {
			super.userEventTriggered(context, event);
		}
	}

	abstract void receive(ChannelHandlerContext context, byte[] frame)
			throws InvalidProtocolBufferException, LinkRejectedException;

	abstract void onIdle(ChannelHandlerContext context, IdleStateEvent event);

	LinkSettings settings() {
		return this.settings;
	}

	EventLog log() {
		return this.log;
	}

	Hello.Builder newHello() {
		byte[] nonce = new byte[NONCE_LENGTH_BYTES];
		RANDOM.nextBytes(nonce);
		return Hello.newBuilder()
			.setProtocolVersion(PROTOCOL_VERSION)
			.setDaemonName(this.settings.self().name())
			.setIncarnation(this.settings.self().incarnation())
			.setPeerAddress(this.settings.address().address())
			.setPeerPort(this.settings.address().port())
			.setNonce(ByteString.copyFrom(nonce));
	}

	static Payload authenticatedPayload(LinkAuthenticator authenticator, int slice, byte[] content) {
		return Payload.newBuilder()
			.setSlice(slice)
			.setContent(ByteString.copyFrom(content))
			.setAuthentication(ByteString.copyFrom(authenticator.authenticateNextFrame(slice, content)))
			.build();
	}

	static Payload verifyPayload(ChannelHandlerContext context, LinkAuthenticator authenticator, byte[] frame)
			throws InvalidProtocolBufferException, LinkRejectedException {
		Payload payload = Payload.parseFrom(frame);
		byte[] expected = authenticator.authenticateNextFrame(payload.getSlice(), payload.getContent().toByteArray());
		if (!LinkAuthenticator.matches(expected, payload.getAuthentication().toByteArray())) {
			throw new LinkRejectedException(peerAddress(context), true, "a frame does not match its authentication");
		}
		return payload;
	}

	static String peerAddress(ChannelHandlerContext context) {
		SocketAddress address = context.channel().remoteAddress();
		return (address != null) ? address.toString() : "unknown";
	}

}
