package org.wigeonmast.wire;

import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Thrown when a peer fails authentication or sends an invalid frame.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class LinkRejectedException extends WigeonmastException {

	private final boolean authenticationFailure;

	/**
	 * Creates an exception.
	 * @param peer the peer
	 * @param authenticationFailure whether authentication failed
	 * @param message the error, without the peer
	 */
	public LinkRejectedException(String peer, boolean authenticationFailure, String message) {
		super(Step.LINK, peer, message, null);
		this.authenticationFailure = authenticationFailure;
	}

	/**
	 * Returns whether authentication failed.
	 * @return {@code false} for a malformed frame
	 */
	public boolean isAuthenticationFailure() {
		return this.authenticationFailure;
	}

}
