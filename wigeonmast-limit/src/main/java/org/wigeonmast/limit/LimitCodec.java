package org.wigeonmast.limit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.limit.internal.protocol.LimitProtocol;

/**
 * Protobuf codec of the limit messages.
 * <p>
 * Thread safety: immutable.
 */
public final class LimitCodec implements MessageCodec<LimitMessage> {

	private static final String SLICE = "limit";

	@Override
	public byte[] encode(LimitMessage message) {
		LimitProtocol.Message.Builder builder = LimitProtocol.Message.newBuilder();
		switch (message) {
			case LimitMessage.ShareRequest request -> builder.getShareRequestBuilder()
				.setSubject(convertSubject(request.subject()))
				.setDemand(request.demand())
				.setLimit(request.limit());
			case LimitMessage.ShareGrant grant -> builder.getShareGrantBuilder()
				.setSubject(convertSubject(grant.subject()))
				.setRate(grant.rate())
				.setLease(grant.lease());
		}
		return builder.build().toByteArray();
	}

	@Override
	public LimitMessage decode(byte[] bytes) throws MalformedMessageException {
		try {
			LimitProtocol.Message message = LimitProtocol.Message.parseFrom(bytes);
			return switch (message.getKindCase()) {
				case SHARE_REQUEST ->
					new LimitMessage.ShareRequest(convertSubject(message.getShareRequest().getSubject()),
							requireRate(message.getShareRequest().getDemand()),
							Math.max(0, message.getShareRequest().getLimit()));
				case SHARE_GRANT -> new LimitMessage.ShareGrant(convertSubject(message.getShareGrant().getSubject()),
						requireRate(message.getShareGrant().getRate()),
						requireLease(message.getShareGrant().getLease()));
				case KIND_NOT_SET -> throw malformed("the message has no known kind", null);
			};
		}
		catch (InvalidProtocolBufferException exception) {
			throw malformed("the bytes are not a limit message", exception);
		}
	}

	private static LimitProtocol.Subject convertSubject(LimitSubject subject) {
		LimitProtocol.Kind kind = switch (subject.kind()) {
			case CALLER -> LimitProtocol.Kind.KIND_CALLER;
			case SERVICE -> LimitProtocol.Kind.KIND_SERVICE;
		};
		return LimitProtocol.Subject.newBuilder().setKind(kind).setName(subject.name()).build();
	}

	private static LimitSubject convertSubject(LimitProtocol.Subject subject) throws MalformedMessageException {
		LimitSubject.Kind kind = switch (subject.getKind()) {
			case KIND_CALLER -> LimitSubject.Kind.CALLER;
			case KIND_SERVICE -> LimitSubject.Kind.SERVICE;
			case KIND_UNSPECIFIED, UNRECOGNIZED -> throw malformed("the subject has no known kind", null);
		};
		if (subject.getName().isEmpty()) {
			throw malformed("the subject has no name", null);
		}
		return new LimitSubject(kind, subject.getName());
	}

	private static double requireRate(double rate) throws MalformedMessageException {
		if (!Double.isFinite(rate) || rate < 0) {
			throw malformed("the rate " + rate + " is negative or not finite", null);
		}
		return rate;
	}

	private static long requireLease(long lease) throws MalformedMessageException {
		if (lease < 0 || lease > ShareAllocator.LEASE_MS) {
			throw malformed("the lease of " + lease + " ms is not between 0 and " + ShareAllocator.LEASE_MS + " ms",
					null);
		}
		return lease;
	}

	private static MalformedMessageException malformed(String message, @Nullable Throwable cause) {
		return new MalformedMessageException(SLICE, message, cause);
	}

}
