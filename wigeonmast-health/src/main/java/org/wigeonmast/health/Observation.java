package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;
import org.wigeonmast.core.DaemonId;
import org.wigeonmast.core.ServiceName;
import org.wigeonmast.manifest.WorkClass;

/**
 * What one daemon saw of one request at a backend server.
 * <p>
 * Thread safety: immutable.
 *
 * @param service the service
 * @param server the backend server
 * @param workClass the class of work
 * @param observer the daemon that sent the request
 * @param result how it ended
 * @param duration the time from sending to the end of the response in milliseconds; for
 * {@link Result#TIMED_OUT} the time waited
 */
public record Observation(ServiceName service, BackendServerId server, WorkClass workClass, DaemonId observer,
		Result result, long duration) {

	/** How a request ended at a backend server. */
	public enum Result {

		/** The server answered without an error. */
		SUCCEEDED,

		/** The server answered with status 500 to 599 other than load shedding. */
		FAILED,

		/** The server did not answer in time. */
		TIMED_OUT,

		/** The connection could not be made or broke. */
		CONNECTION_FAILED,

		/** The server shed the request because of load; no sign of sickness by itself. */
		SHED

	}

}
