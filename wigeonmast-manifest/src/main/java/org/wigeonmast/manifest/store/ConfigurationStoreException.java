package org.wigeonmast.manifest.store;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Signals that a call to the configuration store failed.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class ConfigurationStoreException extends WigeonmastException {

	/**
	 * Creates an exception.
	 * @param url the URL that was called
	 * @param message a description of the failure
	 * @param cause the cause, if any
	 */
	public ConfigurationStoreException(String url, String message, @Nullable Throwable cause) {
		super(Step.READ, url, message, cause);
	}

}
