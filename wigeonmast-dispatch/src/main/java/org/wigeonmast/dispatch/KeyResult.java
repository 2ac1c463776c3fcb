package org.wigeonmast.dispatch;

/**
 * How the request with an idempotency key ended.
 * <p>
 * Thread safety: immutable.
 *
 * @param execution whether it ran
 * @param status the HTTP status of the answer, 0 without an answer
 */
public record KeyResult(Execution execution, int status) {

	/** Whether a request ran. */
	public enum Execution {

		/** It was answered by a backend server. */
		ANSWERED,

		/** It was not run; the key may be used again. */
		NOT_RUN,

		/** It may have been run. */
		UNKNOWN

	}

}
