package org.wigeonmast.cli;

/**
 * Command of {@code wigeonmast}. It is configured by setters and called once.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public interface Command {

	/**
	 * Runs the command.
	 * @return the exit status
	 * @throws CommandException if the command cannot be carried out
	 * @throws InterruptedException if the thread is interrupted
	 */
	int call() throws CommandException, InterruptedException;

}
