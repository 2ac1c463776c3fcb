package org.wigeonmast.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.ServiceLoader;

/**
 * Entry point of the benches, which are found with {@link ServiceLoader}.
 * <p>
 * Thread safety: stateless.
 */
public final class Main {

	private static final int EXIT_USAGE = 64;

	private Main() {
	}

	/**
	 * Runs the bench that the first argument names.
	 * @param arguments the name and the bench's arguments
	 * @throws Exception if the bench cannot run
	 */
	public static void main(String[] arguments) throws Exception {
		PrintStream errors = System.err;
		if (arguments.length > 0) {
			for (Bench bench : ServiceLoader.load(Bench.class)) {
				if (bench.name().equals(arguments[0])) {
					System.exit(bench.run(Arrays.copyOfRange(arguments, 1, arguments.length)));
				}
			}
			errors.println("bench: there is no bench named " + arguments[0]);
		}
		errors.println("usage: bin/bench NAME [options]");
		ServiceLoader.load(Bench.class)
			.forEach((bench) -> errors.println("  " + bench.name() + ": " + bench.description()));
		System.exit(EXIT_USAGE);
	}

}
