package org.wigeonmast.dispatch.internal;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.dispatch.DispatchMessage;
import org.wigeonmast.dispatch.KeyResult;
import org.wigeonmast.dispatch.internal.protocol.DispatchProtocol;

/**
 * Encoder from dispatch messages to protobuf messages.
 * <p>
 * Thread safety: stateless. Invariant: enum constants are encoded as their ordinal, so
 * new constants may only be added at the end.
 */
public final class MessageEncoder {

	private MessageEncoder() {
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the protobuf message
	 */
	public static DispatchProtocol.Message encode(DispatchMessage message) {
		DispatchProtocol.Message.Builder builder = DispatchProtocol.Message.newBuilder();
		switch (message) {
			case DispatchMessage.SlotRequest request -> builder.setSlotRequest(slotRequest(request));
			case DispatchMessage.SlotQueued queued -> builder.setSlotQueued(DispatchProtocol.SlotQueued.newBuilder()
				.setTicket(queued.ticket())
				.setExpectedWait(queued.expectedWait()));
			case DispatchMessage.SlotGrant grant -> builder.setSlotGrant(DispatchProtocol.SlotGrant.newBuilder()
				.setService(grant.service().value())
				.setTicket(grant.ticket())
				.setServer(grant.server().value())
				.setLease(grant.lease()));
			case DispatchMessage.SlotRefusal refusal -> builder.setSlotRefusal(DispatchProtocol.SlotRefusal.newBuilder()
				.setTicket(refusal.ticket())
				.setReason(refusal.reason().ordinal())
				.setRetryAfter(refusal.retryAfter()));
			case DispatchMessage.SlotCancel cancel -> builder.setSlotCancel(DispatchProtocol.SlotCancel.newBuilder()
				.setService(cancel.service().value())
				.setTicket(cancel.ticket()));
			case DispatchMessage.SlotRelease release -> builder.setSlotRelease(DispatchProtocol.SlotRelease.newBuilder()
				.setService(release.service().value())
				.setTicket(release.ticket())
				.setOutcome(outcome(release.outcome())));
			case DispatchMessage.OutcomeReport report -> builder.setOutcomeReport(report(report));
			case DispatchMessage.DispatchAdvice advice -> builder.setDispatchAdvice(advice(advice));
			default -> encodeKeyMessage(builder, message);
		}
		return builder.build();
	}

	private static void encodeKeyMessage(DispatchProtocol.Message.Builder builder, DispatchMessage message) {
		switch (message) {
			case DispatchMessage.KeyRegistration registration ->
				builder.setKeyRegistration(DispatchProtocol.KeyRegistration.newBuilder()
					.setQuery(registration.query())
					.setService(registration.service().value())
					.setKey(registration.key())
					.setAttempt(registration.attempt())
					.setAge(registration.age()));
			case DispatchMessage.KeyQuery query -> builder.setKeyQuery(DispatchProtocol.KeyQuery.newBuilder()
				.setQuery(query.query())
				.setService(query.service().value())
				.setKey(query.key())
				.setAge(query.age()));
			case DispatchMessage.KeyVerdict verdict -> builder.setKeyVerdict(verdict(verdict));
			case DispatchMessage.KeyOutcome outcome -> builder.setKeyOutcome(DispatchProtocol.KeyOutcome.newBuilder()
				.setQuery(outcome.query())
				.setService(outcome.service().value())
				.setKey(outcome.key())
				.setOutcome(result(outcome.outcome())));
			default -> encodeRegisterMessage(builder, message);
		}
	}

	private static void encodeRegisterMessage(DispatchProtocol.Message.Builder builder, DispatchMessage message) {
		switch (message) {
			case DispatchMessage.TenureRequest request -> builder.setTenureRequest(tenureRequest(request));
			case DispatchMessage.TenureReply reply -> builder.setTenureReply(DispatchProtocol.TenureReply.newBuilder()
				.setService(reply.service().value())
				.setRound(reply.round())
				.setPromised(reply.promised())
				.setExclusiveFor(reply.exclusiveFor()));
			case DispatchMessage.TenureRelease release -> builder
				.setTenureRelease(DispatchProtocol.TenureRelease.newBuilder().setService(release.service().value()));
			case DispatchMessage.RegisterTransfer transfer -> builder.setRegisterTransfer(transfer(transfer));
			case DispatchMessage.TransferReceived received -> builder.setTransferReceived(
					DispatchProtocol.TransferReceived.newBuilder().setService(received.service().value()));
			case DispatchMessage.TransferCompleted completed -> builder.setTransferCompleted(
					DispatchProtocol.TransferCompleted.newBuilder().setService(completed.service().value()));
			default -> throw new IllegalArgumentException("no encoding for " + message.getClass().getSimpleName());
		}
	}

	private static DispatchProtocol.SlotRequest slotRequest(DispatchMessage.SlotRequest request) {
		return DispatchProtocol.SlotRequest.newBuilder()
			.setTicket(request.ticket())
			.setService(request.service().value())
			.setWorkClass(request.workClass().ordinal())
			.setCaller(request.caller().value())
			.setRemaining(request.remaining())
			.setIdempotent(request.idempotent())
			.setSpilled(request.spilled())
			.addAllExcluded(request.excluded().stream().map(BackendServerId::value).toList())
			.build();
	}

	private static DispatchProtocol.AttemptOutcome outcome(DispatchMessage.AttemptOutcome outcome) {
		return DispatchProtocol.AttemptOutcome.newBuilder()
			.setServer(outcome.server().value())
			.setWorkClass(outcome.workClass().ordinal())
			.setResult(outcome.result().ordinal())
			.setDuration(outcome.duration())
			.build();
	}

	private static DispatchProtocol.OutcomeReport report(DispatchMessage.OutcomeReport report) {
		DispatchProtocol.OutcomeReport.Builder builder = DispatchProtocol.OutcomeReport.newBuilder()
			.setService(report.service().value())
			.addAllWaiting(report.waiting())
			.setWatermark(report.watermark());
		report.outcomes().forEach((outcome) -> builder.addOutcomes(outcome(outcome)));
		report.held()
			.forEach((held) -> builder.addHeld(DispatchProtocol.HeldSlot.newBuilder()
				.setTicket(held.ticket())
				.setServer(held.server().value())
				.setWorkClass(held.workClass().ordinal())
				.setRemaining(held.remaining())));
		return builder.build();
	}

	private static DispatchProtocol.DispatchAdvice advice(DispatchMessage.DispatchAdvice advice) {
		DispatchProtocol.DispatchAdvice.Builder builder = DispatchProtocol.DispatchAdvice.newBuilder()
			.setService(advice.service().value())
			.setMode(advice.mode().ordinal());
		advice.servers()
			.forEach((server) -> builder.addServers(DispatchProtocol.AdvisedServer.newBuilder()
				.setServer(server.health().server().value())
				.setState(server.health().state().ordinal())
				.setWeight(server.health().weight())
				.setLease(server.lease())));
		return builder.build();
	}

	private static DispatchProtocol.KeyVerdict verdict(DispatchMessage.KeyVerdict verdict) {
		DispatchProtocol.KeyVerdict.Builder builder = DispatchProtocol.KeyVerdict.newBuilder()
			.setQuery(verdict.query())
			.setVerdict(verdict.verdict().ordinal());
		KeyResult outcome = verdict.outcome();
		if (outcome != null) {
			builder.setOutcome(result(outcome));
		}
		return builder.build();
	}

	private static DispatchProtocol.TenureRequest tenureRequest(DispatchMessage.TenureRequest request) {
		DispatchProtocol.TenureRequest.Builder builder = DispatchProtocol.TenureRequest.newBuilder()
			.setService(request.service().value())
			.setRound(request.round());
		DaemonId predecessor = request.predecessor();
		if (predecessor != null) {
			builder.setPredecessor(daemon(predecessor));
		}
		return builder.build();
	}

	private static DispatchProtocol.RegisterTransfer transfer(DispatchMessage.RegisterTransfer transfer) {
		DispatchProtocol.RegisterTransfer.Builder builder = DispatchProtocol.RegisterTransfer.newBuilder()
			.setService(transfer.service().value())
			.setKeptSince(transfer.keptSince())
			.setPart(transfer.part())
			.setParts(transfer.parts());
		transfer.keys().forEach((key) -> builder.addKeys(registeredKey(key)));
		return builder.build();
	}

	private static DispatchProtocol.RegisteredKey registeredKey(DispatchMessage.RegisteredKey key) {
		DispatchProtocol.RegisteredKey.Builder builder = DispatchProtocol.RegisteredKey.newBuilder()
			.setKey(key.key())
			.setAge(key.age())
			.setDaemon(daemon(key.daemon()))
			.setQuery(key.query());
		KeyResult outcome = key.outcome();
		if (outcome != null) {
			builder.setOutcome(result(outcome));
		}
		return builder.build();
	}

	private static DispatchProtocol.KeyResult result(KeyResult result) {
		return DispatchProtocol.KeyResult.newBuilder()
			.setExecution(result.execution().ordinal())
			.setStatus(result.status())
			.build();
	}

	private static DispatchProtocol.Daemon daemon(DaemonId daemon) {
		return DispatchProtocol.Daemon.newBuilder().setName(daemon.name()).setIncarnation(daemon.incarnation()).build();
	}

}
