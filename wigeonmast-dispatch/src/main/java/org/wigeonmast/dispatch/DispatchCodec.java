package org.wigeonmast.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonmast.core.MalformedMessageException;
import org.wigeonmast.core.MessageCodec;
import org.wigeonmast.dispatch.internal.MessageDecoder;
import org.wigeonmast.dispatch.internal.MessageEncoder;
import org.wigeonmast.dispatch.internal.protocol.DispatchProtocol;

/**
 * Codec of dispatch messages in the protobuf format.
 * <p>
 * Thread safety: immutable.
 */
public final class DispatchCodec implements MessageCodec<DispatchMessage> {

	@Override
	public byte[] encode(DispatchMessage message) {
		return MessageEncoder.encode(message).toByteArray();
	}

	@Override
	public DispatchMessage decode(byte[] bytes) throws MalformedMessageException {
		try {
			return MessageDecoder.decode(DispatchProtocol.Message.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException exception) {
			throw new MalformedMessageException(MessageDecoder.SLICE, "the bytes are not a dispatch message",
					exception);
		}
	}

}
