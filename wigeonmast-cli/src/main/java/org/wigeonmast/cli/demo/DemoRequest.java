package org.wigeonmast.cli.demo;

/**
 * One finished request of the demo.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier that the caller chose
 * @param idempotent whether the work may run twice
 * @param sentMs the monotonic time of sending in milliseconds
 * @param durationMs the time until the end in milliseconds
 * @param result how it ended
 * @param detail what the caller was told
 */
record DemoRequest(String id, boolean idempotent, long sentMs, long durationMs, Result result, String detail) {

	/** How a request ended for the caller. */
	enum Result {

		/** The backend server's answer, complete and to this request. */
		ANSWERED,

		/** A backend server's answer that reports a failure. */
		FAILED,

		/** A refusal that says "not run". */
		NOT_RUN,

		/** A refusal that says "unknown". */
		UNKNOWN,

		/** A broken connection or another answer without a statement. */
		BROKEN,

		/** An answer to another request, or an incomplete one. */
		FOREIGN

	}

}
