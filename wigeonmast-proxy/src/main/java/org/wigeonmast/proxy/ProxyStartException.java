package org.wigeonmast.proxy;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Thrown when the proxy cannot listen on its address.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class ProxyStartException extends WigeonmastException {

	/**
	 * Creates an exception.
	 * @param address the address
	 * @param cause the cause
	 */
	public ProxyStartException(HostAddress address, Throwable cause) {
		super(Step.START, address.toString(), "Cannot listen for callers: " + cause.getMessage(), cause);
	}

}
