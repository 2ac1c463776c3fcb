package org.wigeonmast.dispatch;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.CallerId;
import org.wigeonmast.core.RequestId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.RoutePolicy;
import org.wigeonmast.manifest.WorkClass;

/**
 * The properties of a caller's request that dispatch depends on.
 * <p>
 * Thread safety: immutable.
 *
 * @param id the identifier, unique within this incarnation of the daemon
 * @param caller the caller
 * @param service the service
 * @param workClass the class of work
 * @param idempotent whether the request may run more than once
 * @param deadline the monotonic time in milliseconds after which the caller no longer
 * needs the response
 * @param replayable whether the whole body is held in memory, so that it can be sent
 * again
 * @param key the idempotency key, if the caller sent one
 * @param declaredAttempt the caller's attempt number, 0 if not declared
 * @param externalId the identifier that is reported to the caller
 * @param plan the settings of the route
 */
public record RequestDescription(RequestId id, CallerId caller, ServiceName service, WorkClass workClass,
		boolean idempotent, long deadline, boolean replayable, @Nullable String key, int declaredAttempt,
		String externalId, RoutePolicy plan) {

	/**
	 * Creates a description of a request whose route has no settings.
	 * @param id the identifier, which is also reported to the caller
	 * @param caller the caller
	 * @param service the service
	 * @param workClass the class of work
	 * @param idempotent whether the request may run more than once
	 * @param deadline the monotonic time in milliseconds after which the caller no longer
	 * needs the response
	 * @param replayable whether the whole body is held in memory
	 * @param key the idempotency key, if the caller sent one
	 * @param declaredAttempt the caller's attempt number, 0 if not declared
	 */
	public RequestDescription(RequestId id, CallerId caller, ServiceName service, WorkClass workClass,
			boolean idempotent, long deadline, boolean replayable, @Nullable String key, int declaredAttempt) {
		this(id, caller, service, workClass, idempotent, deadline, replayable, key, declaredAttempt, id.value(),
				RoutePolicy.NONE);
	}

}
