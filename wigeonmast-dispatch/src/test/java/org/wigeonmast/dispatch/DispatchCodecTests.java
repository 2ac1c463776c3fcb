package org.wigeonmast.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.WorkClass;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link DispatchCodec}.
 */
class DispatchCodecTests {

	private static final int MUTATIONS = 2000;

	private static final ServiceName SERVICE = new ServiceName("claim-desk");

	private static final BackendServerId SERVER = new BackendServerId("claim-1");

	private static final DaemonId DAEMON = new DaemonId("entry-1", 5);

	private static final KeyResult RESULT = new KeyResult(KeyResult.Execution.ANSWERED, 201);

	private static final DispatchMessage.AttemptOutcome OUTCOME = new DispatchMessage.AttemptOutcome(SERVER,
			WorkClass.LONG, AttemptResult.TIMED_OUT, 400);

	private final DispatchCodec codec = new DispatchCodec();

	private static List<DispatchMessage> messages() {
		return List.of(
				new DispatchMessage.SlotRequest(1, SERVICE, WorkClass.LONG, new CallerId("kitchen"), 900, true, true,
						List.of(SERVER)),
				new DispatchMessage.SlotQueued(1, 20), new DispatchMessage.SlotGrant(SERVICE, 1, SERVER, 800),
				new DispatchMessage.SlotRefusal(1, RefusalReason.OVERLOADED, 500),
				new DispatchMessage.SlotCancel(SERVICE, 1), new DispatchMessage.SlotRelease(SERVICE, 1, OUTCOME),
				new DispatchMessage.OutcomeReport(SERVICE, List.of(OUTCOME),
						List.of(new DispatchMessage.HeldSlot(2, SERVER, WorkClass.SHORT, 70)), List.of(3L, 4L), 5),
				new DispatchMessage.DispatchAdvice(SERVICE, DispatchMode.GRANTED,
						List.of(new DispatchMessage.AdvisedServer(
								new ServerHealth(SERVER, ServerHealth.State.EJECTED, 0.25), 2900))),
				new DispatchMessage.KeyRegistration(1, SERVICE, "key", 2, 30),
				new DispatchMessage.KeyQuery(1, SERVICE, "key", 30),
				new DispatchMessage.KeyVerdict(1, DispatchMessage.KeyVerdict.Verdict.SEEN, RESULT),
				new DispatchMessage.KeyVerdict(1, DispatchMessage.KeyVerdict.Verdict.CANNOT_VOUCH, null),
				new DispatchMessage.KeyOutcome(1, SERVICE, "key", RESULT),
				new DispatchMessage.TenureRequest(SERVICE, 3, DAEMON),
				new DispatchMessage.TenureRequest(SERVICE, 3, null),
				new DispatchMessage.TenureReply(SERVICE, 3, true, 1000), new DispatchMessage.TenureRelease(SERVICE),
				new DispatchMessage.RegisterTransfer(SERVICE,
						List.of(new DispatchMessage.RegisteredKey("key", 4, DAEMON, 5, RESULT),
								new DispatchMessage.RegisteredKey("other", 4, DAEMON, 6, null)),
						60_000, 1, 2),
				new DispatchMessage.TransferReceived(SERVICE), new DispatchMessage.TransferCompleted(SERVICE));
	}

	// Guards against a field that is lost or swapped in encoding or decoding.
	@Test
	void decodedMessagesEqualEncodedOnes() throws MalformedMessageException {
		for (DispatchMessage message : messages()) {
			assertThat(this.codec.decode(this.codec.encode(message))).isEqualTo(message);
		}
	}

	// Guards against a kind of message that the codec does not support.
	@Test
	void everyKindOfMessageIsTested() {
		List<Class<?>> tested = new ArrayList<>(messages().stream().map(Object::getClass).distinct().toList());
		assertThat(tested)
			.containsExactlyElementsIn(Arrays.stream(DispatchMessage.class.getPermittedSubclasses()).toList());
	}

	// Guards against unexpected exceptions on truncated or corrupted bytes, which must
	// either decode to a message or be reported as malformed.
	@Test
	void damagedBytesAreMalformedOrAnotherMessage() {
		Random random = new Random(20261204);
		for (DispatchMessage message : messages()) {
			byte[] bytes = this.codec.encode(message);
			for (int length = 0; length < bytes.length; length++) {
				decode(Arrays.copyOf(bytes, length));
			}
			for (int count = 0; count < MUTATIONS / messages().size(); count++) {
				byte[] damaged = bytes.clone();
				damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
				decode(damaged);
			}
		}
		assertWithMessage("an empty message").that(decode(new byte[0])).isFalse();
	}

	private boolean decode(byte[] bytes) {
		try {
			this.codec.decode(bytes);
			return true;
		}
		catch (MalformedMessageException exception) {
			return false;
		}
	}

}
