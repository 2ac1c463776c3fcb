package org.wigeonmast.wire.internal;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.wire.LinkRejectedException;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Hello;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Proof;

/**
 * Handler of the connecting end of a link, which sends messages.
 * <p>
 * Thread safety: used by one event loop. Invariant: a link on which no frame arrives
 * although keep-alive frames are sent is closed.
 */
final class ConnectedLinkHandler extends LinkHandler {

	/** Maximum number of unanswered keep-alive frames before the link is closed. */
	static final int MAX_UNANSWERED_KEEP_ALIVES = 2;

	private final Consumer<ChannelHandlerContext> onOpened;

	private final Hello connectorHello;

	private @Nullable LinkAuthenticator receiveAuthenticator;

	private @Nullable LinkAuthenticator sendAuthenticator;

	private int unansweredKeepAlives;

	ConnectedLinkHandler(LinkSettings settings, Consumer<ChannelHandlerContext> onOpened) {
		super(settings);
		this.onOpened = onOpened;
		this.connectorHello = newHello().build();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(LinkFrames.encode(this.connectorHello));
	}

	@Override
	void receive(ChannelHandlerContext context, byte[] frame)
			throws InvalidProtocolBufferException, LinkRejectedException {
		this.unansweredKeepAlives = 0;
		LinkAuthenticator authenticator = this.receiveAuthenticator;
		if (authenticator == null) {
			authenticate(context, Hello.parseFrom(frame));
		}
		else {
			verifyPayload(context, authenticator, frame);
		}
	}

	private void authenticate(ChannelHandlerContext context, Hello acceptorHello) throws LinkRejectedException {
		LinkAuthenticator authenticator = new LinkAuthenticator(settings().key(), this.connectorHello, acceptorHello);
		if (!LinkAuthenticator.matches(authenticator.acceptorProof(), acceptorHello.getProof().toByteArray())) {
			throw new LinkRejectedException(peerAddress(context), true, "the proof does not match the shared key");
		}
		this.receiveAuthenticator = authenticator;
		this.sendAuthenticator = new LinkAuthenticator(settings().key(), this.connectorHello, acceptorHello);
		Proof proof = Proof.newBuilder().setProof(ByteString.copyFrom(authenticator.connectorProof())).build();
		context.writeAndFlush(LinkFrames.encode(proof));
		this.onOpened.accept(context);
	}

	/**
	 * Sends a message; must be called on the event loop.
	 * @param context the context of this handler
	 * @param slice the slice number
	 * @param content the encoded message
	 */
	void send(ChannelHandlerContext context, int slice, byte[] content) {
		LinkAuthenticator authenticator = this.sendAuthenticator;
		if (authenticator != null) {
			context.writeAndFlush(LinkFrames.encode(authenticatedPayload(authenticator, slice, content)));
		}
	}

	@Override
	void onIdle(ChannelHandlerContext context, IdleStateEvent event) {
		if (event.state() != IdleState.READER_IDLE) {
			return;
		}
		this.unansweredKeepAlives++;
		if (this.unansweredKeepAlives > MAX_UNANSWERED_KEEP_ALIVES) {
			context.close();
		}
		else {
			send(context, KEEP_ALIVE_SLICE, new byte[0]);
		}
	}

}
