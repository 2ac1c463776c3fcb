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
 * Authenticator of one direction of a link, which computes the proofs of the handshake
 * and the authentication codes of frames with HMAC-SHA-256.
 * <p>
 * Thread safety: none; each direction of a link has its own instance. Invariants: the
 * session key depends on the nonces of both sides, and the authentication code of a frame
 * on its sequence number, so that frames cannot be replayed on this or another link.
 */
final class LinkAuthenticator {

	/** Length to which the authentication codes of frames are truncated. */
	static final int FRAME_AUTHENTICATION_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final byte CONNECTOR_LABEL = 1;

	private static final byte ACCEPTOR_LABEL = 2;

	private static final byte SESSION_LABEL = 3;

	private final Mac sharedKeyMac;

	private final Mac sessionMac;

	private final byte[] transcript;

	private long sequence;

	LinkAuthenticator(SharedKey key, Hello connector, Hello acceptor) {
		this.sharedKeyMac = createMac(key.bytes());
		this.transcript = encodeTranscript(connector, acceptor);
		this.sessionMac = createMac(authenticateTranscript(SESSION_LABEL));
	}

	byte[] connectorProof() {
		return authenticateTranscript(CONNECTOR_LABEL);
	}

	byte[] acceptorProof() {
		return authenticateTranscript(ACCEPTOR_LABEL);
	}

	/**
	 * Computes the authentication code of the next frame and advances the sequence
	 * number.
	 * @param slice the slice number
	 * @param content the content
	 * @return the authentication code
	 */
	byte[] authenticateNextFrame(int slice, byte[] content) {
		this.sessionMac
			.update(ByteBuffer.allocate(Long.BYTES + Integer.BYTES).putLong(this.sequence++).putInt(slice).flip());
		return Arrays.copyOf(this.sessionMac.doFinal(content), FRAME_AUTHENTICATION_BYTES);
	}

	static boolean matches(byte[] expected, byte[] given) {
		return MessageDigest.isEqual(expected, given);
	}

	private byte[] authenticateTranscript(byte label) {
		this.sharedKeyMac.update(label);
		return this.sharedKeyMac.doFinal(this.transcript);
	}

	private static byte[] encodeTranscript(Hello connector, Hello acceptor) {
		byte[] connectorBytes = connector.toBuilder().clearProof().build().toByteArray();
		byte[] acceptorBytes = acceptor.toBuilder().clearProof().build().toByteArray();
		return ByteBuffer.allocate(Integer.BYTES + connectorBytes.length + acceptorBytes.length)
			.putInt(connectorBytes.length)
			.put(connectorBytes)
			.put(acceptorBytes)
			.array();
	}

	private static Mac createMac(byte[] key) {
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
