package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.WorkClass;

/**
 * The outcome of one request at a backend server, as the daemon that sent it observed it.
 * <p>
 * Thread safety: immutable.
 *
 * @param service the service
 * @param server the backend server
 * @param workClass the class of work
 * @param observer the daemon that sent the request
 * @param result the result of the request
 * @param duration the time from sending to the end of the response in milliseconds; for
 * {@link Result#TIMED_OUT} the time until the timeout
 */
public record Observation(ServiceName service, BackendServerId server, WorkClass workClass, DaemonId observer,
		Result result, long duration) {

	/** The result of a request at a backend server. */
	public enum Result {

		/** The server answered without an error. */
		SUCCEEDED,

		/** The server answered with status 500 to 599 other than load shedding. */
		FAILED,

		/** The server did not answer before the timeout. */
		TIMED_OUT,

		/** The connection could not be established, or it broke. */
		CONNECTION_FAILED,

		/**
		 * The server shed the request because of load, which alone does not indicate that
		 * it is unhealthy.
		 */
		SHED

	}

}
