package org.wigeonmast.cli;

import java.io.IOException;
import java.io.PrintStream;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.wigeonmast.cli.demo.DemoScript;
import org.wigeonmast.core.Step;
import org.wigeonmast.core.WigeonmastException;

/**
 * Command {@code demo}: runs a fleet of three daemons in one process through a gray
 * failure, a manifest change and a planned stop, and checks the guarantees.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class DemoCommand implements Command {

	private final PrintStream out;

	/**
	 * Creates a command.
	 * @param out the stream for progress and results
	 */
	public DemoCommand(PrintStream out) {
		this.out = out;
	}

	@Override
	public int call() throws CommandException, InterruptedException {
		// The log lines of three daemons would hide the output of the demo.
		Configurator.setRootLevel(Level.OFF);
		try (DemoScript script = new DemoScript(this.out)) {
			return script.run() ? ExitStatus.OK : ExitStatus.GUARANTEE_BROKEN;
		}
		catch (IOException | WigeonmastException exception) {
			throw new CommandException(ExitStatus.UNAVAILABLE, Step.START, "demo",
					exception.getMessage() + "; the demo needs free ports on 127.0.0.1", exception);
		}
	}

}
