package org.wigeonmast.cli;

import org.jspecify.annotations.Nullable;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Thrown when a command cannot be carried out.
 * <p>
 * Thread safety: as {@link Exception}.
 */
public final class CommandException extends WigeonmastException {

	private final int exitStatus;

	/**
	 * Creates an exception.
	 * @param exitStatus the exit status of the program
	 * @param step the step that failed
	 * @param place the file or daemon concerned
	 * @param message the problem and how to solve it
	 * @param cause the cause, if any
	 */
	public CommandException(int exitStatus, Step step, String place, String message, @Nullable Throwable cause) {
		super(step, place, message, cause);
		this.exitStatus = exitStatus;
	}

	/**
	 * Returns the exit status of the program.
	 * @return the status
	 */
	public int exitStatus() {
		return this.exitStatus;
	}

}
