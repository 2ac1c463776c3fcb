package org.wigeonmast.dispatch;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.health.Observation;

/**
 * The result of an attempt, as reported to the owner of the slots.
 * <p>
 * Thread safety: immutable.
 */
public enum AttemptResult {

	/** The server answered without an error. */
	SUCCEEDED(Observation.Result.SUCCEEDED),

	/** The server answered with an HTTP status of 500 or above. */
	FAILED(Observation.Result.FAILED),

	/** The server did not answer in time. */
	TIMED_OUT(Observation.Result.TIMED_OUT),

	/** The connection could not be established or was lost. */
	CONNECTION_FAILED(Observation.Result.CONNECTION_FAILED),

	/** The server rejected the request without running it because it was overloaded. */
	SHED(Observation.Result.SHED),

	/** The caller left before the end, which is no evidence about the server. */
	ABANDONED(null),

	/** The slot was not used. */
	UNUSED(null);

	private final Observation.@Nullable Result observation;

	AttemptResult(Observation.@Nullable Result observation) {
		this.observation = observation;
	}

	/**
	 * Returns the evidence about the server's health.
	 * @return the evidence, or {@code null} if the result is no evidence about the server
	 */
	public Observation.@Nullable Result observation() {
		return this.observation;
	}

}
