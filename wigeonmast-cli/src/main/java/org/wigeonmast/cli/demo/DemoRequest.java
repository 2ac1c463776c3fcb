package org.wigeonmast.cli.demo;

/**
 * Completed request of the demo.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier that the caller set
 * @param idempotent whether the request may run more than once
 * @param sentAtMs the monotonic time at which the request was sent, in milliseconds
 * @param durationMs the time from sending to the result in milliseconds
 * @param result the result for the caller
 * @param detail the status, problem or exception that the caller received
 */
record DemoRequest(String id, boolean idempotent, long sentAtMs, long durationMs, Result result, String detail) {

	/** Result of a request for the caller. */
	enum Result {

		/** A complete response of a backend server that belongs to the request. */
		ANSWERED,

		/** A backend server's response with an error status. */
		FAILED,

		/** A refusal that states that the request was not run. */
		NOT_RUN,

		/**
		 * A problem response that states that it is unknown whether the request was run.
		 */
		UNKNOWN,

		/** A broken connection, or a response that states neither. */
		BROKEN,

		/** An incomplete response, or one to another request. */
		FOREIGN

	}

}
