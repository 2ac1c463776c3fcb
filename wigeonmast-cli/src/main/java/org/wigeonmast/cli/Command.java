package org.wigeonmast.cli;

/**
 * A command of {@code wigeonmast}, which is set up by setters and called once.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public interface Command {

	/**
	 * Runs the command.
	 * @return the exit status
	 * @throws CommandException if the command cannot do what it was asked to
	 * @throws InterruptedException if the thread is interrupted
	 */
	int call() throws CommandException, InterruptedException;

}
