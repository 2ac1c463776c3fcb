package org.wigeonmast.bench;

/**
 * A bench that can be run from the command line.
 * <p>
 * Thread safety: none; one thread runs a bench.
 */
public interface Bench {

	/**
	 * Returns the name on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Returns what the bench measures.
	 * @return one line
	 */
	String description();

	/**
	 * Runs the bench and prints its figures to standard output.
	 * @param arguments the arguments after the name
	 * @return the exit status, 0 when all targets were met
	 * @throws Exception if the bench cannot run
	 */
	int run(String[] arguments) throws Exception;

}
