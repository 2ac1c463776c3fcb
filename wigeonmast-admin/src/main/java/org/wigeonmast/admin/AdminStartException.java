package org.wigeonmast.admin;

import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Thrown when the admin interface cannot listen on its address.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class AdminStartException extends WigeonmastException {

	/**
	 * Creates an exception.
	 * @param address the address to listen on
	 * @param cause the cause
	 */
	public AdminStartException(HostAddress address, Throwable cause) {
		super(Step.START, address.toString(), "the admin interface cannot listen: " + cause.getMessage()
				+ "; choose a free address and port in the section [admin] of the settings", cause);
	}

}
