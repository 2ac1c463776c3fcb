package org.wigeonmast.proxy.internal;

import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.dispatch.RequestDescription;
import org.wigeonmast.manifest.Route;

/**
 * Validated and routed request head.
 * <p>
 * Thread safety: none; the request is mutable.
 *
 * @param request the request, without hop-by-hop fields
 * @param id the identifier, unique within one run of the daemon
 * @param externalId the identifier that the caller sees
 * @param route the route
 * @param caller the caller
 * @param deadline the monotonic time in milliseconds after which the caller no longer
 * needs the response
 * @param key the idempotency key, if the caller sent one
 * @param declaredAttempt the caller's attempt number, 0 if not declared
 * @param contentLength the length of the body in bytes, {@link #UNKNOWN_LENGTH} if it is
 * chunked
 * @param keepAlive whether the caller's connection stays open
 * @param expectsContinue whether the caller waits for status 100 before the body
 */
record AdmittedHead(HttpRequest request, RequestId id, String externalId, Route route, CallerId caller, long deadline,
		@Nullable String key, int declaredAttempt, long contentLength, boolean keepAlive, boolean expectsContinue) {

	/** Content length of a chunked body. */
	static final long UNKNOWN_LENGTH = -1;

	/**
	 * Describes the request to dispatch.
	 * @param replayable whether the whole body is buffered in memory
	 * @return the description
	 */
	RequestDescription describe(boolean replayable) {
		return new RequestDescription(this.id, this.caller, this.route.service(), this.route.workClass(),
				this.route.idempotent(), this.deadline, replayable, this.key, this.declaredAttempt, this.externalId,
				this.route.policy());
	}

}
