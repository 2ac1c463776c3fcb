package org.wigeonmast.proxy;

/**
 * Default names and values of the header fields that the proxy interprets.
 * <p>
 * Thread safety: stateless.
 */
public final class ProxyHeaders {

	/**
	 * Identifier of a request, chosen by the caller or generated, and returned to the
	 * caller.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Identity of the caller, to whom limits and fairness apply. */
	public static final String CALLER_ID = "Caller-Id";

	/** Time remaining for the request, in milliseconds. */
	public static final String REQUEST_TIMEOUT = "Request-Timeout";

	/** Key under which a caller repeats a request. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** Number of the caller's attempt under one key, from 1. */
	public static final String REQUEST_ATTEMPT = "Request-Attempt";

	/** Whether a request that was answered with 503 has been run. */
	public static final String REQUEST_EXECUTION = "Request-Execution";

	/** State of a backend server, in its responses. */
	public static final String SERVER_STATE = "Server-State";

	/** Value of {@link #REQUEST_EXECUTION} for a request that has not been run. */
	public static final String NOT_RUN = "not-run";

	/** Value of the problem member {@code execution} for a request that may have run. */
	public static final String UNKNOWN = "unknown";

	/** Value of {@link #SERVER_STATE} for a server that is leaving. */
	public static final String LEAVING = "leaving";

	private ProxyHeaders() {
	}

}
