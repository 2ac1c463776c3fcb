package org.wigeonmast.health;

import org.wigeonmast.core.BackendServerId;

/**
 * The judgement about one backend server that dispatch follows.
 * <p>
 * Thread safety: immutable.
 *
 * @param server the backend server
 * @param state the state
 * @param weight the share of its slots that may be used, 0 to 1; 0 is used only as the
 * last choice
 */
public record ServerHealth(BackendServerId server, State state, double weight) {

	/** State of a backend server. */
	public enum State {

		/** In service. */
		SERVING,

		/**
		 * Suspected; the last choice while others have free slots, but still in service.
		 */
		AVOIDED,

		/** Ejected under a permit; gets no work. */
		EJECTED,

		/** Back from an ejection; gets a few idempotent requests. */
		TRIAL,

		/** In service with a rising weight, after a trial or a cold start. */
		RAMPING,

		/** Leaving; gets no new work. */
		LEAVING,

		/** Not reachable by anyone; gets no work. */
		DEAD

	}

}
