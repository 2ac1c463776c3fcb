package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;

/**
 * The health of one backend server, as dispatch uses it.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the backend server
 * @param state the state
 * @param weight the share of its slots that may be used, from 0 to 1; a server with
 * weight 0 is used only if no other is available
 */
public record ServerHealth(BackendServerId server, State state, double weight) {

	/** The health state of a backend server. */
	public enum State {

		/** In service. */
		SERVING,

		/**
		 * Suspected to be unhealthy; used only if no other server has a free slot, but
		 * still in service.
		 */
		AVOIDED,

		/** Ejected under a permit; receives no work. */
		EJECTED,

		/** At the end of an ejection; receives a few idempotent requests. */
		TRIAL,

		/**
		 * In service with an increasing weight, after a trial, an avoidance or a cold
		 * start.
		 */
		RAMPING,

		/** Leaving; receives no new work. */
		LEAVING,

		/** Not running; receives no work. */
		DEAD

	}

}
