package org.wigeonmast.dispatch.internal;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.dispatch.AttemptResult;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.DispatchMessage.KeyVerdict.Verdict;
import org.wigeonmast.dispatch.DispatchMode;
import org.wigeonmast.dispatch.KeyResult;
import org.wigeonmast.dispatch.RefusalReason;
import org.wigeonmast.dispatch.internal.protocol.DispatchProtocol;
import org.wigeonmast.health.ServerHealth;
import org.wigeonmast.manifest.WorkClass;

/**
 * Decoder from protobuf messages to dispatch messages.
 * <p>
 * Thread safety: stateless. Invariant: an unknown enum constant makes the whole message
 * malformed, because handling only a part of a message could be wrong.
 */
public final class MessageDecoder {

	/** The slice of the protocol that is named in reports of malformed messages. */
	public static final String SLICE = "dispatch";

	private MessageDecoder() {
	}

	/**
	 * Decodes a message.
	 * @param message the protobuf message
	 * @return the dispatch message
	 * @throws MalformedMessageException if a value is missing or unknown
	 */
	public static DispatchMessage decode(DispatchProtocol.Message message) throws MalformedMessageException {
		return switch (message.getKindCase()) {
			case SLOT_REQUEST -> slotRequest(message.getSlotRequest());
			case SLOT_QUEUED -> new DispatchMessage.SlotQueued(message.getSlotQueued().getTicket(),
					message.getSlotQueued().getExpectedWait());
			case SLOT_GRANT -> new DispatchMessage.SlotGrant(service(message.getSlotGrant().getService()),
					message.getSlotGrant().getTicket(), server(message.getSlotGrant().getServer()),
					message.getSlotGrant().getLease());
			case SLOT_REFUSAL -> new DispatchMessage.SlotRefusal(message.getSlotRefusal().getTicket(),
					decodeConstant(RefusalReason.values(), message.getSlotRefusal().getReason()),
					message.getSlotRefusal().getRetryAfter());
			case SLOT_CANCEL -> new DispatchMessage.SlotCancel(service(message.getSlotCancel().getService()),
					message.getSlotCancel().getTicket());
			case SLOT_RELEASE -> new DispatchMessage.SlotRelease(service(message.getSlotRelease().getService()),
					message.getSlotRelease().getTicket(), outcome(message.getSlotRelease().getOutcome()));
			case OUTCOME_REPORT -> report(message.getOutcomeReport());
			case DISPATCH_ADVICE -> advice(message.getDispatchAdvice());
			case KEY_REGISTRATION -> registration(message.getKeyRegistration());
			case KEY_QUERY -> new DispatchMessage.KeyQuery(message.getKeyQuery().getQuery(),
					service(message.getKeyQuery().getService()), message.getKeyQuery().getKey(),
					message.getKeyQuery().getAge());
			case KEY_VERDICT -> verdict(message.getKeyVerdict());
			case KEY_OUTCOME -> new DispatchMessage.KeyOutcome(message.getKeyOutcome().getQuery(),
					service(message.getKeyOutcome().getService()), message.getKeyOutcome().getKey(),
					result(message.getKeyOutcome().getOutcome()));
			case TENURE_REQUEST -> tenureRequest(message.getTenureRequest());
			case TENURE_REPLY -> new DispatchMessage.TenureReply(service(message.getTenureReply().getService()),
					message.getTenureReply().getRound(), message.getTenureReply().getPromised(),
					message.getTenureReply().getExclusiveFor());
			case TENURE_RELEASE -> new DispatchMessage.TenureRelease(service(message.getTenureRelease().getService()));
			case REGISTER_TRANSFER -> transfer(message.getRegisterTransfer());
			case TRANSFER_RECEIVED ->
				new DispatchMessage.TransferReceived(service(message.getTransferReceived().getService()));
			case TRANSFER_COMPLETED ->
				new DispatchMessage.TransferCompleted(service(message.getTransferCompleted().getService()));
			case KIND_NOT_SET -> throw malformed("the message has no known kind");
		};
	}

	private static DispatchMessage slotRequest(DispatchProtocol.SlotRequest request) throws MalformedMessageException {
		List<BackendServerId> excluded = new ArrayList<>();
		for (String server : request.getExcludedList()) {
			excluded.add(server(server));
		}
		return new DispatchMessage.SlotRequest(request.getTicket(), service(request.getService()),
				decodeConstant(WorkClass.values(), request.getWorkClass()), new CallerId(request.getCaller()),
				request.getRemaining(), request.getIdempotent(), request.getSpilled(), excluded);
	}

	private static DispatchMessage.AttemptOutcome outcome(DispatchProtocol.AttemptOutcome outcome)
			throws MalformedMessageException {
		return new DispatchMessage.AttemptOutcome(server(outcome.getServer()),
				decodeConstant(WorkClass.values(), outcome.getWorkClass()),
				decodeConstant(AttemptResult.values(), outcome.getResult()), outcome.getDuration());
	}

	private static DispatchMessage report(DispatchProtocol.OutcomeReport report) throws MalformedMessageException {
		List<DispatchMessage.AttemptOutcome> outcomes = new ArrayList<>();
		for (DispatchProtocol.AttemptOutcome outcome : report.getOutcomesList()) {
			outcomes.add(outcome(outcome));
		}
		List<DispatchMessage.HeldSlot> held = new ArrayList<>();
		for (DispatchProtocol.HeldSlot slot : report.getHeldList()) {
			held.add(new DispatchMessage.HeldSlot(slot.getTicket(), server(slot.getServer()),
					decodeConstant(WorkClass.values(), slot.getWorkClass()), slot.getRemaining()));
		}
		return new DispatchMessage.OutcomeReport(service(report.getService()), outcomes, held, report.getWaitingList(),
				report.getWatermark());
	}

	private static DispatchMessage advice(DispatchProtocol.DispatchAdvice advice) throws MalformedMessageException {
		List<DispatchMessage.AdvisedServer> servers = new ArrayList<>();
		for (DispatchProtocol.AdvisedServer server : advice.getServersList()) {
			ServerHealth health = new ServerHealth(server(server.getServer()),
					decodeConstant(ServerHealth.State.values(), server.getState()), server.getWeight());
			servers.add(new DispatchMessage.AdvisedServer(health, server.getLease()));
		}
		return new DispatchMessage.DispatchAdvice(service(advice.getService()),
				decodeConstant(DispatchMode.values(), advice.getMode()), servers);
	}

	private static DispatchMessage registration(DispatchProtocol.KeyRegistration registration)
			throws MalformedMessageException {
		return new DispatchMessage.KeyRegistration(registration.getQuery(), service(registration.getService()),
				registration.getKey(), registration.getAttempt(), registration.getAge());
	}

	private static DispatchMessage verdict(DispatchProtocol.KeyVerdict verdict) throws MalformedMessageException {
		return new DispatchMessage.KeyVerdict(verdict.getQuery(),
				decodeConstant(Verdict.values(), verdict.getVerdict()),
				verdict.hasOutcome() ? result(verdict.getOutcome()) : null);
	}

	private static DispatchMessage tenureRequest(DispatchProtocol.TenureRequest request)
			throws MalformedMessageException {
		@Nullable DaemonId predecessor = request.hasPredecessor() ? daemon(request.getPredecessor()) : null;
		return new DispatchMessage.TenureRequest(service(request.getService()), request.getRound(), predecessor);
	}

	private static DispatchMessage transfer(DispatchProtocol.RegisterTransfer transfer)
			throws MalformedMessageException {
		List<DispatchMessage.RegisteredKey> keys = new ArrayList<>();
		for (DispatchProtocol.RegisteredKey key : transfer.getKeysList()) {
			keys.add(new DispatchMessage.RegisteredKey(key.getKey(), key.getAge(), daemon(key.getDaemon()),
					key.getQuery(), key.hasOutcome() ? result(key.getOutcome()) : null));
		}
		return new DispatchMessage.RegisterTransfer(service(transfer.getService()), keys, transfer.getKeptSince(),
				transfer.getPart(), transfer.getParts());
	}

	private static KeyResult result(DispatchProtocol.KeyResult result) throws MalformedMessageException {
		return new KeyResult(decodeConstant(KeyResult.Execution.values(), result.getExecution()), result.getStatus());
	}

	private static DaemonId daemon(DispatchProtocol.Daemon daemon) throws MalformedMessageException {
		return new DaemonId(requireNonEmpty(daemon.getName(), "daemon"), daemon.getIncarnation());
	}

	private static ServiceName service(String name) throws MalformedMessageException {
		return new ServiceName(requireNonEmpty(name, "service"));
	}

	private static BackendServerId server(String id) throws MalformedMessageException {
		return new BackendServerId(requireNonEmpty(id, "backend server"));
	}

	private static String requireNonEmpty(String value, String fieldName) throws MalformedMessageException {
		if (value.isEmpty()) {
			throw malformed("the " + fieldName + " is missing");
		}
		return value;
	}

	private static <T extends Enum<T>> T decodeConstant(T[] constants, int number) throws MalformedMessageException {
		if (number < 0 || number >= constants.length) {
			throw malformed("the value " + number + " of " + constants[0].getDeclaringClass().getSimpleName()
					+ " is not known");
		}
		return constants[number];
	}

	private static MalformedMessageException malformed(String message) {
		return new MalformedMessageException(SLICE, message, null);
	}

}
