package org.wigeonmast.core;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when bytes from a peer are not a valid message.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class MalformedMessageException extends WigeonmastException {

	/**
	 * Creates an exception.
	 * @param slice the slice whose codec failed
	 * @param message the error, without the slice
	 * @param cause the cause, if any
	 */
	public MalformedMessageException(String slice, String message, @Nullable Throwable cause) {
		super(Step.LINK, slice, message, cause);
	}

}
