package org.wigeonmast.settings;

import java.net.URI;

/**
 * The settings for access to the platform's configuration store.
 * <p>
 * Thread safety: immutable.
 *
 * @param baseUrl the URL before {@code /manifest/index} and {@code /hosts}, without a
 * slash at the end
 * @param callTimeout the timeout of a read in milliseconds
 * @param watchWait the time in milliseconds for which a watch request waits for a change
 */
public record StoreSettings(URI baseUrl, long callTimeout, long watchWait) {

	/** Default of {@link #callTimeout()}. */
	public static final long DEFAULT_CALL_TIMEOUT_MS = 2_000;

	/** Default of {@link #watchWait()}. */
	public static final long DEFAULT_WATCH_WAIT_MS = 3_000;

	/**
	 * Creates settings with the default timeouts.
	 * @param baseUrl the URL before {@code /manifest/index} and {@code /hosts}
	 */
	public StoreSettings(URI baseUrl) {
		this(baseUrl, DEFAULT_CALL_TIMEOUT_MS, DEFAULT_WATCH_WAIT_MS);
	}

}
