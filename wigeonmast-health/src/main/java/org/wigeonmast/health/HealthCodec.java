package org.wigeonmast.health;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.health.internal.protocol.HealthProtocol;

/**
 * Codec of health messages in protobuf.
 * <p>
 * Thread safety: immutable. Invariant: a message without a kind, or with an empty service
 * or server where one is required, is malformed.
 */
public final class HealthCodec implements MessageCodec<HealthMessage> {

	private static final String SLICE = "health";

	@Override
	public byte[] encode(HealthMessage message) {
		HealthProtocol.Message.Builder builder = HealthProtocol.Message.newBuilder()
			.setService(message.service().value());
		switch (message) {
			case HealthMessage.PromiseRequest request -> builder.setPromiseRequest(encodeRequest(request));
			case HealthMessage.PromiseReply reply -> builder.setPromiseReply(encodeReply(reply));
			case HealthMessage.PromiseRelease release ->
				builder.setPromiseRelease(HealthProtocol.PromiseRelease.newBuilder()
					.setPermit(release.permit())
					.setServer(release.server().value())
					.setSequence(release.sequence()));
			case HealthMessage.LeavingNotice notice ->
				builder.setLeavingNotice(HealthProtocol.LeavingNotice.newBuilder().setServer(notice.server().value()));
			case HealthMessage.EjectionNotice _ ->
				builder.setEjectionNotice(HealthProtocol.EjectionNotice.getDefaultInstance());
			case HealthMessage.EjectionQuery query ->
				builder.setEjectionQuery(HealthProtocol.EjectionQuery.newBuilder().setSequence(query.sequence()));
			case HealthMessage.EjectionAdvice advice -> builder.setEjectionAdvice(encodeAdvice(advice));
		}
		return builder.build().toByteArray();
	}

	@Override
	public HealthMessage decode(byte[] bytes) throws MalformedMessageException {
		HealthProtocol.Message message;
		try {
			message = HealthProtocol.Message.parseFrom(bytes);
		}
		catch (InvalidProtocolBufferException exception) {
			throw new MalformedMessageException(SLICE, "the bytes are not a health message", exception);
		}
		ServiceName service = new ServiceName(required(message.getService(), "service"));
		return switch (message.getKindCase()) {
			case PROMISE_REQUEST -> decodeRequest(service, message.getPromiseRequest());
			case PROMISE_REPLY -> decodeReply(service, message.getPromiseReply());
			case PROMISE_RELEASE -> {
				HealthProtocol.PromiseRelease release = message.getPromiseRelease();
				yield new HealthMessage.PromiseRelease(service, release.getPermit(), server(release.getServer()),
						release.getSequence());
			}
			case LEAVING_NOTICE ->
				new HealthMessage.LeavingNotice(service, server(message.getLeavingNotice().getServer()));
			case EJECTION_NOTICE -> new HealthMessage.EjectionNotice(service);
			case EJECTION_QUERY -> new HealthMessage.EjectionQuery(service, message.getEjectionQuery().getSequence());
			case EJECTION_ADVICE -> decodeAdvice(service, message.getEjectionAdvice());
			case KIND_NOT_SET -> throw new MalformedMessageException(SLICE, "the message has no known kind", null);
		};
	}

	private static HealthProtocol.PromiseRequest encodeRequest(HealthMessage.PromiseRequest request) {
		return HealthProtocol.PromiseRequest.newBuilder()
			.setPermit(request.permit())
			.setServer(request.server().value())
			.setSequence(request.sequence())
			.setEvidence(request.evidence())
			.build();
	}

	private static HealthProtocol.PromiseReply encodeReply(HealthMessage.PromiseReply reply) {
		BackendServerId holder = reply.holder();
		return HealthProtocol.PromiseReply.newBuilder()
			.setPermit(reply.permit())
			.setServer(reply.server().value())
			.setSequence(reply.sequence())
			.setRefusal(HealthProtocol.Refusal.valueOf(reply.refusal().name()))
			.setHolder((holder != null) ? holder.value() : "")
			.build();
	}

	private static HealthProtocol.EjectionAdvice encodeAdvice(HealthMessage.EjectionAdvice advice) {
		HealthProtocol.EjectionAdvice.Builder builder = HealthProtocol.EjectionAdvice.newBuilder()
			.setSequence(advice.sequence());
		for (HealthMessage.AdvisedEjection ejection : advice.ejections()) {
			builder.addEjections(HealthProtocol.AdvisedEjection.newBuilder()
				.setServer(ejection.server().value())
				.setPermit(ejection.permit())
				.setRemaining(ejection.remaining())
				.setStrength(ejection.strength())
				.setTrial(ejection.trial())
				.setEvidence(ejection.evidence()));
		}
		return builder.build();
	}

	private static HealthMessage decodeRequest(ServiceName service, HealthProtocol.PromiseRequest request)
			throws MalformedMessageException {
		return new HealthMessage.PromiseRequest(service, request.getPermit(), server(request.getServer()),
				request.getSequence(), request.getEvidence());
	}

	private static HealthMessage decodeReply(ServiceName service, HealthProtocol.PromiseReply reply)
			throws MalformedMessageException {
		// A reason that a newer release added is treated as a refusal.
		HealthMessage.Refusal refusal = switch (reply.getRefusal()) {
			case NONE -> HealthMessage.Refusal.NONE;
			case HELD -> HealthMessage.Refusal.HELD;
			case FLOOR -> HealthMessage.Refusal.FLOOR;
			case UNKNOWN_PERMIT -> HealthMessage.Refusal.UNKNOWN_PERMIT;
			case WAITING, UNRECOGNIZED -> HealthMessage.Refusal.WAITING;
		};
		@Nullable BackendServerId holder = reply.getHolder().isEmpty() ? null : new BackendServerId(reply.getHolder());
		return new HealthMessage.PromiseReply(service, reply.getPermit(), server(reply.getServer()),
				reply.getSequence(), refusal, holder);
	}

	private static HealthMessage decodeAdvice(ServiceName service, HealthProtocol.EjectionAdvice advice)
			throws MalformedMessageException {
		List<HealthMessage.AdvisedEjection> ejections = new ArrayList<>();
		for (HealthProtocol.AdvisedEjection ejection : advice.getEjectionsList()) {
			if (ejection.getRemaining() < 0) {
				throw new MalformedMessageException(SLICE, "the remaining time of a lease is negative", null);
			}
			ejections.add(new HealthMessage.AdvisedEjection(server(ejection.getServer()), ejection.getPermit(),
					ejection.getRemaining(), ejection.getStrength(), ejection.getTrial(), ejection.getEvidence()));
		}
		return new HealthMessage.EjectionAdvice(service, advice.getSequence(), ejections);
	}

	private static BackendServerId server(String value) throws MalformedMessageException {
		return new BackendServerId(required(value, "server"));
	}

	private static String required(String value, String field) throws MalformedMessageException {
		if (value.isEmpty()) {
			throw new MalformedMessageException(SLICE, "the field " + field + " is empty", null);
		}
		return value;
	}

}
