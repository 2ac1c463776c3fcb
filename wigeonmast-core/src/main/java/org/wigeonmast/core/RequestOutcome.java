package org.wigeonmast.core;

/**
 * How a request ended, as far as the daemon can vouch for it.
 * <p>
 * Thread safety: immutable. Invariant: {@link NotRun} is used only when no backend server
 * has run the request and none can run it later.
 */
public sealed interface RequestOutcome {

	/**
	 * The caller received the backend server's answer.
	 *
	 * @param status the HTTP status
	 */
	record Answered(int status) implements RequestOutcome {
	}

	/**
	 * The request was refused and has not been run.
	 *
	 * @param reason the reason for the caller
	 * @param retryAfter the advised wait in milliseconds, 0 for none
	 */
	record NotRun(String reason, long retryAfter) implements RequestOutcome {
	}

	/**
	 * The request may have been run.
	 *
	 * @param reason the reason for the caller
	 */
	record Unknown(String reason) implements RequestOutcome {
	}

}
