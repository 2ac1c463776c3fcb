package org.wigeonmast.proxy.internal;

import java.security.SecureRandom;

import org.wigeonmast.core.RequestId;

/**
 * Generator of request identifiers.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariant: an identifier is never
 * generated twice by one instance, and by two instances only with negligible probability.
 */
final class RequestIds {

	private static final int RADIX = Character.MAX_RADIX;

	private final String prefix = Long.toUnsignedString(new SecureRandom().nextLong(), RADIX) + "-";

	private long count;

	/**
	 * Generates an identifier.
	 * @return the identifier
	 */
	RequestId next() {
		return new RequestId(this.prefix + Long.toString(this.count++, RADIX));
	}

}
