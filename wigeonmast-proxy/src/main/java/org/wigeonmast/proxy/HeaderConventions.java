package org.wigeonmast.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * Names and semantics of the header fields that the proxy interprets.
 * <p>
 * Thread safety: immutable. Fields whose name is {@code null} are neither read nor
 * written.
 *
 * @param requestId identifier of a request, returned to the caller
 * @param remainingTime time remaining for the request, in whole milliseconds
 * @param caller identity of the caller
 * @param idempotencyKey key under which a caller repeats a request
 * @param attempt number of the caller's attempt under one key
 * @param execution in a response: whether the request was run
 * @param notRunValue the value of {@code execution} for a request that was not run;
 * {@code null} if the presence of the field is sufficient, with any status
 * @param serverState state of a backend server, in its responses
 * @param expectedServer in a request: the identifier of the only backend server that may
 * run it; another one answers 421 and does not run it
 * @param successProof in a response: the field that every success response of a backend
 * server carries
 * @param requestIdEchoed whether backend servers repeat the identifier of the request in
 * its response, so that a response to another request is recognised
 * @param viaAdded whether the proxy adds itself to the Via field
 * @param fractionalRetryAfter whether callers understand fractions of seconds in
 * Retry-After
 */
public record HeaderConventions(String requestId, String remainingTime, @Nullable String caller,
		@Nullable String idempotencyKey, @Nullable String attempt, String execution, @Nullable String notRunValue,
		@Nullable String serverState, @Nullable String expectedServer, @Nullable String successProof,
		boolean requestIdEchoed, boolean viaAdded, boolean fractionalRetryAfter) {

	/** The default names. */
	public static final HeaderConventions DEFAULTS = new HeaderConventions(ProxyHeaders.REQUEST_ID,
			ProxyHeaders.REQUEST_TIMEOUT, ProxyHeaders.CALLER_ID, ProxyHeaders.IDEMPOTENCY_KEY,
			ProxyHeaders.REQUEST_ATTEMPT, ProxyHeaders.REQUEST_EXECUTION, ProxyHeaders.NOT_RUN,
			ProxyHeaders.SERVER_STATE, null, null, false, true, false);

	/**
	 * Returns the value of a field.
	 * @param headers the header fields
	 * @param name the name of the field, or {@code null} if it is not used
	 * @return the first value, or {@code null}
	 */
	public static @Nullable String value(HttpHeaders headers, @Nullable String name) {
		return (name != null) ? headers.get(name) : null;
	}

	/**
	 * Returns whether a response states that the request was not run and will not be run.
	 * @param response the response head
	 * @return whether the request was not run
	 */
	public boolean statesNotRun(HttpResponse response) {
		String value = response.headers().get(this.execution);
		if (this.notRunValue != null) {
			return HttpResponseStatus.SERVICE_UNAVAILABLE.equals(response.status()) && this.notRunValue.equals(value);
		}
		return value != null
				|| (this.expectedServer != null && HttpResponseStatus.MISDIRECTED_REQUEST.equals(response.status()));
	}

}
