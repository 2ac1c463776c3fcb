package org.wigeonmast.wire.internal;

import java.nio.charset.StandardCharsets;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.SharedKey;
import org.wigeonmast.wire.LinkSettings;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Hello;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the handshake, frame authentication and keep-alive of links.
 */
class LinkHandshakeTests {

	private static final SharedKey KEY = new SharedKey(
			"0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII));

	private static final byte[] CONTENT = { 1, 2, 3 };

	private final Hello connector = hello(1);

	private final Hello acceptor = hello(2);

	// Guards against accepting a replayed frame.
	@Test
	void repeatedFrameHasADifferentAuthentication() {
		LinkAuthenticator authenticator = new LinkAuthenticator(KEY, this.connector, this.acceptor);
		byte[] first = authenticator.authenticateNextFrame(1, CONTENT);
		assertThat(authenticator.authenticateNextFrame(1, CONTENT)).isNotEqualTo(first);
	}

	// Guards against accepting a frame of one link on another link.
	@Test
	void frameAuthenticationDependsOnBothNonces() {
		byte[] frame = new LinkAuthenticator(KEY, this.connector, this.acceptor).authenticateNextFrame(1, CONTENT);
		assertThat(new LinkAuthenticator(KEY, this.connector, hello(3)).authenticateNextFrame(1, CONTENT))
			.isNotEqualTo(frame);
		assertThat(new LinkAuthenticator(KEY, hello(3), this.acceptor).authenticateNextFrame(1, CONTENT))
			.isNotEqualTo(frame);
		assertThat(new LinkAuthenticator(KEY, this.connector, this.acceptor).authenticateNextFrame(1, CONTENT))
			.isEqualTo(frame);
	}

	// Guards against reflection attacks: a side must not pass by returning the other's
	// proof.
	@Test
	void proofsOfBothSidesDiffer() {
		LinkAuthenticator authenticator = new LinkAuthenticator(KEY, this.connector, this.acceptor);
		assertThat(authenticator.connectorProof()).isNotEqualTo(authenticator.acceptorProof());
	}

	// Guards against a link that stays open after a middlebox dropped its connection
	// state.
	@Test
	void linkWithoutAnyAnswerIsClosed() {
		LinkSettings settings = new LinkSettings(new DaemonId("one", 1), new HostAddress("127.0.0.1", 1), KEY);
		EmbeddedChannel channel = new EmbeddedChannel(new ConnectedLinkHandler(settings, (context) -> {
		}));
		for (int count = 0; count < ConnectedLinkHandler.MAX_UNANSWERED_KEEP_ALIVES; count++) {
			channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
		}
		assertThat(channel.isOpen()).isTrue();
		channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
		assertThat(channel.isOpen()).isFalse();
		channel.finishAndReleaseAll();
	}

	private static Hello hello(int nonce) {
		return Hello.newBuilder().setNonce(ByteString.copyFrom(new byte[] { (byte) nonce })).build();
	}

}
