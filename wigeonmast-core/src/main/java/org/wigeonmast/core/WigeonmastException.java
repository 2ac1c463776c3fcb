package org.wigeonmast.core;

import org.jspecify.annotations.Nullable;

/**
 * Base class of the exceptions of this project, which carry the step and the peer that
 * they concern.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public abstract class WigeonmastException extends Exception {

	private final Step step;

	private final String peer;

	/**
	 * Creates an exception.
	 * @param step the step at which the error occurred
	 * @param peer the peer, file or key concerned
	 * @param message the error, without step and peer
	 * @param cause the cause, if any
	 */
	protected WigeonmastException(Step step, String peer, String message, @Nullable Throwable cause) {
		super(step + " " + peer + ": " + message, cause);
		this.step = step;
		this.peer = peer;
	}

	/**
	 * Returns the step at which the error occurred.
	 * @return the step
	 */
	public Step step() {
		return this.step;
	}

	/**
	 * Returns the peer, file or key concerned.
	 * @return the peer
	 */
	public String peer() {
		return this.peer;
	}

}
