package org.wigeonmast.core;

/**
 * Codec for the messages of one slice on the links between daemons.
 * <p>
 * Thread safety: implementations are immutable. Invariant: a decoded message equals the
 * encoded one; fields that a newer release added are ignored.
 *
 * @param <M> the type of the messages
 */
public interface MessageCodec<M> {

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the bytes
	 */
	byte[] encode(M message);

	/**
	 * Decodes a message.
	 * @param bytes the bytes
	 * @return the message
	 * @throws MalformedMessageException if the bytes are not a message of this slice
	 */
	M decode(byte[] bytes) throws MalformedMessageException;

}
