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
 * The connecting end of a link, which sends messages.
 * <p>
 * Thread safety: used by one event loop. Invariant: a link on which nothing arrives
 * although keep-alive frames are sent is closed.
 */
final class ConnectedLinkHandler extends LinkHandler {

	/** Keep-alive frames that may stay unanswered before the link counts as silent. */
	static final int UNANSWERED_LIMIT = 2;

	private final Consumer<ChannelHandlerContext> opened;

	private final Hello connector;

	private @Nullable LinkAuthenticator receiving;

	private @Nullable LinkAuthenticator sending;

	private int unanswered;

	ConnectedLinkHandler(LinkSettings settings, Consumer<ChannelHandlerContext> opened) {
		super(settings);
		this.opened = opened;
		this.connector = hello().build();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(LinkFrames.encode(this.connector));
	}

	@Override
	void receive(ChannelHandlerContext context, byte[] frame)
			throws InvalidProtocolBufferException, LinkRejectedException {
		this.unanswered = 0;
		LinkAuthenticator authenticator = this.receiving;
		if (authenticator == null) {
			authenticate(context, Hello.parseFrom(frame));
		}
		else {
			verified(context, authenticator, frame);
		}
	}

	private void authenticate(ChannelHandlerContext context, Hello acceptor) throws LinkRejectedException {
		LinkAuthenticator authenticator = new LinkAuthenticator(settings().key(), this.connector, acceptor);
		if (!LinkAuthenticator.matches(authenticator.acceptorProof(), acceptor.getProof().toByteArray())) {
			throw new LinkRejectedException(peer(context), true, "the proof does not match the shared key");
		}
		this.receiving = authenticator;
		this.sending = new LinkAuthenticator(settings().key(), this.connector, acceptor);
		Proof proof = Proof.newBuilder().setProof(ByteString.copyFrom(authenticator.connectorProof())).build();
		context.writeAndFlush(LinkFrames.encode(proof));
		this.opened.accept(context);
	}

	/**
	 * Sends a message; to be called on the event loop.
	 * @param context the context of this handler
	 * @param slice the slice number
	 * @param content the encoded message
	 */
	void send(ChannelHandlerContext context, int slice, byte[] content) {
		LinkAuthenticator authenticator = this.sending;
		if (authenticator != null) {
			context.writeAndFlush(LinkFrames.encode(payload(authenticator, slice, content)));
		}
	}

	@Override
	void idle(ChannelHandlerContext context, IdleStateEvent event) {
		if (event.state() != IdleState.READER_IDLE) {
			return;
		}
		this.unanswered++;
		if (this.unanswered > UNANSWERED_LIMIT) {
			context.close();
		}
		else {
			send(context, KEEP_ALIVE, new byte[0]);
		}
	}

}
