package org.wigeonmast.dispatch;

/**
 * The result of the request with an idempotency key.
 * <p>
 * Thread safety: immutable.
 *
 * @param execution whether it ran
 * @param status the HTTP status of the response, 0 without a response
 */
public record KeyResult(Execution execution, int status) {

	/** Whether the request ran. */
	public enum Execution {

		/** It was answered by a backend server. */
		ANSWERED,

		/** It was not run; the key may be used again. */
		NOT_RUN,

		/** It may have been run. */
		UNKNOWN

	}

}
