package org.wigeonmast.dispatch;

/**
 * The proxy's report on one attempt at a backend server.
 * <p>
 * Thread safety: immutable. Invariant: {@link NothingSent} is reported only when no byte
 * of the request has been handed to the operating system.
 */
public sealed interface AttemptReport {

	/**
	 * No byte of the request left the daemon; the attempt has ended.
	 *
	 * @param reason the cause of the failure
	 */
	record NothingSent(String reason) implements AttemptReport {
	}

	/**
	 * The response head arrived. The proxy holds the response back until it gets
	 * {@link ExchangeCommand.Relay} or {@link ExchangeCommand.Abort}.
	 *
	 * @param status the HTTP status
	 * @param notRun whether the server states that it did not run the request
	 * @param leaving whether the server states that it is leaving
	 */
	record ResponseStarted(int status, boolean notRun, boolean leaving) implements AttemptReport {
	}

	/**
	 * The whole response was relayed to the caller; the attempt has ended.
	 *
	 * @param status the HTTP status
	 */
	record Completed(int status) implements AttemptReport {
	}

	/**
	 * The attempt ended after bytes were sent and before its response was complete.
	 *
	 * @param responseStarted whether part of the response was relayed to the caller
	 * @param timedOut whether the attempt ended because of a time-out
	 * @param reason the cause of the failure
	 */
	record Broken(boolean responseStarted, boolean timedOut, String reason) implements AttemptReport {
	}

}
