package org.wigeonmast.wire;

import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Thrown when the address for links cannot be bound.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class LinkListenerException extends WigeonmastException {

	/**
	 * Creates an exception.
	 * @param address the address
	 * @param cause the cause
	 */
	public LinkListenerException(String address, Throwable cause) {
		super(Step.START, address, "the address for links cannot be bound: " + cause.getMessage(), cause);
	}

}
