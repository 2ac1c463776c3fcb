package org.wigeonmast.wire.internal;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.wigeonmast.core.SharedKey;
import org.wigeonmast.wire.internal.protocol.WireProtocol.Hello;

/**
 * Computes the proofs of the handshake and the authentication of frames with
 * HMAC-SHA-256.
 * <p>
 * Thread safety: none; each link has its own instance. Invariants: the session key
 * depends on the nonces of both sides, and the frame authentication on the sequence
 * number, so that frames cannot be replayed on this or another link.
 */
final class LinkAuthenticator {

	/** Length in bytes to which frame authentications are truncated. */
	static final int FRAME_AUTHENTICATION_LENGTH = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final byte CONNECTOR = 1;

	private static final byte ACCEPTOR = 2;

	private static final byte SESSION = 3;

	private final Mac keyed;

	private final Mac session;

	private final byte[] handshake;

	private long sequence;

	LinkAuthenticator(SharedKey key, Hello connector, Hello acceptor) {
		this.keyed = create(key.bytes());
		this.handshake = transcript(connector, acceptor);
		this.session = create(compute(SESSION));
	}

	byte[] connectorProof() {
		return compute(CONNECTOR);
	}

	byte[] acceptorProof() {
		return compute(ACCEPTOR);
	}

	/**
	 * Computes the authentication of the next frame.
	 * @param slice the slice number
	 * @param content the content
	 * @return the authentication
	 */
	byte[] nextFrame(int slice, byte[] content) {
		this.session
			.update(ByteBuffer.allocate(Long.BYTES + Integer.BYTES).putLong(this.sequence++).putInt(slice).flip());
		return Arrays.copyOf(this.session.doFinal(content), FRAME_AUTHENTICATION_LENGTH);
	}

	static boolean matches(byte[] expected, byte[] given) {
		return MessageDigest.isEqual(expected, given);
	}

	private byte[] compute(byte role) {
		this.keyed.update(role);
		return this.keyed.doFinal(this.handshake);
	}

	private static byte[] transcript(Hello connector, Hello acceptor) {
		byte[] first = connector.toBuilder().clearProof().build().toByteArray();
		byte[] second = acceptor.toBuilder().clearProof().build().toByteArray();
		return ByteBuffer.allocate(Integer.BYTES + first.length + second.length)
			.putInt(first.length)
			.put(first)
			.put(second)
			.array();
	}

	private static Mac create(byte[] key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException exception) {
			throw new IllegalStateException("Every Java runtime provides " + ALGORITHM, exception);
		}
	}

}
