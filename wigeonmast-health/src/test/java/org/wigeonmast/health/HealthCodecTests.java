package org.wigeonmast.health;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.HealthMessage.Refusal;

import static com.google.common.truth.Truth.assertThat;

class HealthCodecTests {

	private static final ServiceName SERVICE = new ServiceName("catalogue");

	private static final BackendServerId SERVER = new BackendServerId("catalogue-1");

	private final HealthCodec codec = new HealthCodec();

	/** Guards against fields that are lost in encoding or decoding. */
	@Test
	void decodedMessageEqualsTheEncodedOne() throws MalformedMessageException {
		List<HealthMessage> messages = List.of(new HealthMessage.PromiseRequest(SERVICE, 1, SERVER, 7, "slow"),
				new HealthMessage.PromiseReply(SERVICE, 1, SERVER, 7, Refusal.NONE, SERVER),
				new HealthMessage.PromiseReply(SERVICE, 1, SERVER, 7, Refusal.FLOOR, null),
				new HealthMessage.PromiseRelease(SERVICE, 1, SERVER, 8),
				new HealthMessage.LeavingNotice(SERVICE, SERVER), new HealthMessage.EjectionNotice(SERVICE),
				new HealthMessage.EjectionQuery(SERVICE, 9), new HealthMessage.EjectionAdvice(SERVICE, 9,
						List.of(new HealthMessage.AdvisedEjection(SERVER, 1, 2_500, 18.5, true, "slow"))));
		for (HealthMessage message : messages) {
			assertThat(this.codec.decode(this.codec.encode(message))).isEqualTo(message);
		}
	}

	/** Guards against malformed input that causes an unexpected exception. */
	@Property(tries = 1000, seed = "19")
	void foreignBytesAreMalformedOrAMessage(@ForAll byte[] bytes) {
		try {
			assertThat(this.codec.decode(bytes).service().value()).isNotEmpty();
		}
		catch (MalformedMessageException exception) {
			assertThat(exception).hasMessageThat().contains("health");
		}
	}

}
