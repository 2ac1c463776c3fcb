package org.wigeonmast.wire.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.wire.LinkRejectedException;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.MessageListener;
import org.wigeonmast.wire.Slice;
import org.wigeonmast.wire.WireEvent;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Hello;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Payload;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Proof;

/**
 * Handler of the accepting end of a link, which receives messages and answers keep-alive
 * frames.
 * <p>
 * Thread safety: used by one event loop.
 */
final class AcceptedLinkHandler extends LinkHandler {

	private final MessageListener listener;

	private @Nullable DaemonId peer;

	private @Nullable HostAddress address;

	private @Nullable LinkAuthenticator receiveAuthenticator;

	private @Nullable LinkAuthenticator sendAuthenticator;

	private boolean authenticated;

	AcceptedLinkHandler(LinkSettings settings, MessageListener listener) {
		super(settings);
		this.listener = listener;
	}

	@Override
	void receive(ChannelHandlerContext context, byte[] frame)
			throws InvalidProtocolBufferException, LinkRejectedException {
		LinkAuthenticator authenticator = this.receiveAuthenticator;
		if (authenticator == null) {
			answerHello(context, Hello.parseFrom(frame));
		}
		else if (this.authenticated) {
			deliver(context, verifyPayload(context, authenticator, frame));
		}
		else {
			authenticate(context, authenticator, Proof.parseFrom(frame));
		}
	}

	private void answerHello(ChannelHandlerContext context, Hello connectorHello) {
		Hello unprovenHello = newHello().build();
		LinkAuthenticator authenticator = new LinkAuthenticator(settings().key(), connectorHello, unprovenHello);
		this.receiveAuthenticator = authenticator;
		this.sendAuthenticator = new LinkAuthenticator(settings().key(), connectorHello, unprovenHello);
		this.peer = new DaemonId(connectorHello.getDaemonName(), connectorHello.getIncarnation());
		this.address = new HostAddress(connectorHello.getPeerAddress(), connectorHello.getPeerPort());
		Hello acceptorHello = unprovenHello.toBuilder()
			.setProof(ByteString.copyFrom(authenticator.acceptorProof()))
			.build();
		context.writeAndFlush(LinkFrames.encode(acceptorHello));
	}

	private void authenticate(ChannelHandlerContext context, LinkAuthenticator authenticator, Proof proof)
			throws LinkRejectedException {
		if (!LinkAuthenticator.matches(authenticator.connectorProof(), proof.getProof().toByteArray())) {
			throw new LinkRejectedException(peerAddress(context), true, "the proof does not match the shared key");
		}
		this.authenticated = true;
		LinkFrames.allowLargeFrames(context.pipeline());
	}

	private void deliver(ChannelHandlerContext context, Payload payload) {
		LinkAuthenticator authenticator = this.sendAuthenticator;
		DaemonId from = this.peer;
		HostAddress fromAddress = this.address;
		if (authenticator == null || from == null || fromAddress == null) {
			return;
		}
		if (payload.getSlice() == KEEP_ALIVE_SLICE) {
			context
				.writeAndFlush(LinkFrames.encode(authenticatedPayload(authenticator, KEEP_ALIVE_SLICE, new byte[0])));
			return;
		}
		Slice slice = Slice.ofNumber(payload.getSlice());
		if (slice == null) {
			log().log(WireEvent.SLICE_UNKNOWN, payload.getSlice(), from);
			return;
		}
		this.listener.onMessage(from, fromAddress, slice, payload.getContent().toByteArray());
	}

	@Override
	void onIdle(ChannelHandlerContext context, IdleStateEvent event) {
		if (event.state() == IdleState.READER_IDLE) {
			context.close();
		}
	}

}
