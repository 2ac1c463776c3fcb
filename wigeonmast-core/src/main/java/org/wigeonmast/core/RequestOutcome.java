package org.wigeonmast.core;

/**
 * Outcome of a request, limited to what the daemon can guarantee.
 * <p>
 * Thread safety: immutable. Invariant: {@link NotRun} is used only when no backend server
 * has run the request and none can run it later.
 */
public sealed interface RequestOutcome {

	/**
	 * The caller received the backend server's response.
	 *
	 * @param status the HTTP status
	 */
	record Answered(int status) implements RequestOutcome {
	}

	/**
	 * The request was refused and has not been run.
	 *
	 * @param reason the reason that the caller receives
	 * @param retryAfter the advised wait in milliseconds, 0 for none
	 */
	record NotRun(String reason, long retryAfter) implements RequestOutcome {
	}

	/**
	 * The request may have been run.
	 *
	 * @param reason the reason that the caller receives
	 */
	record Unknown(String reason) implements RequestOutcome {
	}

}
