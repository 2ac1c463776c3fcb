package org.wigeonmast.dispatch;

import org.wigeonmast.core.RequestId;

/**
 * An event that the proxy reports about one request.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface RequestEvent {

	/**
	 * A request was accepted and routed.
	 *
	 * @param request the request
	 */
	record Accepted(RequestDescription request) implements RequestEvent {
	}

	/**
	 * An attempt made progress or ended.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt
	 * @param report the progress or the end
	 */
	record AttemptProgress(RequestId request, int attempt, AttemptReport report) implements RequestEvent {
	}

	/**
	 * The caller closed its connection before its request ended.
	 *
	 * @param request the request
	 */
	record CallerLeft(RequestId request) implements RequestEvent {
	}

}
