package org.wigeonmast.balance.peer;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.balance.BalanceFixtures;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.HostAddress;

/** Tests of {@link PeerMessageCodec}. */
class PeerMessageCodecTests {

	private static final PeerMessage MESSAGE = new PeerMessage(PeerMessage.Kind.HEARTBEAT,
			new Member(peer(1), 1_780_000_000, MemberState.ALIVE), -17, 530, 120, 4500,
			List.of(new Member(peer(2), 7, MemberState.SUSPECT), new Member(peer(3), 0, MemberState.GONE)),
			List.of(new ServerObservation(new BackendServerId("i-7f3a91c2"), ServerObservation.Kind.FAILED)),
			List.of(new SuspicionReport(new BackendServerId("i-2"), 87, 1200)),
			List.of(new ServiceLoad(BalanceFixtures.SERVICE, 2.75)));

	/** Guards against fields that are lost or swapped by encoding and decoding. */
	@Test
	void decodesWhatWasEncoded() throws IOException {
		Truth.assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(MESSAGE))).isEqualTo(MESSAGE);
	}

	/** Guards against unchecked exceptions on truncated or corrupted datagrams. */
	@Test
	void damagedBytesAreRefusedOrDecoded() {
		byte[] whole = PeerMessageCodec.encode(MESSAGE);
		Random random = new Random(11);
		for (int length = 0; length < whole.length; length++) {
			decodeOrRefuse(Arrays.copyOf(whole, length));
			byte[] damaged = whole.clone();
			damaged[length] = (byte) random.nextInt();
			decodeOrRefuse(damaged);
		}
	}

	/** Guards against accepting a message whose sender is unknown. */
	@Test
	void messageWithoutSenderIsRefused() {
		try {
			PeerMessageCodec.decode(new byte[0]);
			Truth.assertWithMessage("a message without sender was decoded").fail();
		}
		catch (IOException exception) {
			Truth.assertThat(exception).hasMessageThat().contains("sender");
		}
	}

	/** Guards against a port that no datagram can be sent to. */
	@Test
	void portOutOfRangeIsRefused() {
		Peer odd = new Peer(new HostAddress("127.0.0.1", 70_000), BalanceFixtures.HOME);
		PeerMessage message = new PeerMessage(PeerMessage.Kind.NEWS, new Member(odd, 1, MemberState.ALIVE), 0, 0, 0, 0,
				List.of(), List.of(), List.of(), List.of());
		byte[] encoded = PeerMessageCodec.encode(message);
		try {
			PeerMessageCodec.decode(encoded);
			Truth.assertWithMessage("a port out of range was decoded").fail();
		}
		catch (IOException exception) {
			Truth.assertThat(exception).hasMessageThat().contains("address");
		}
	}

	private static void decodeOrRefuse(byte[] bytes) {
		try {
			Truth.assertThat(PeerMessageCodec.decode(bytes)).isNotNull();
		}
		catch (IOException exception) {
			Truth.assertThat(exception).hasMessageThat().isNotEmpty();
		}
	}

	private static Peer peer(int number) {
		return new Peer(new HostAddress("127.0.0." + number, 7200), BalanceFixtures.HOME);
	}

}
