package org.wigeonmast.cli;

/**
 * Exit statuses of {@code wigeonmast}, with the values of {@code sysexits.h} where one
 * applies.
 * <p>
 * Thread safety: stateless.
 */
public final class ExitStatus {

	/** The command succeeded. */
	public static final int OK = 0;

	/** The demo ran and a guarantee did not hold. */
	public static final int GUARANTEE_BROKEN = 1;

	/** The command line is invalid. */
	public static final int USAGE = 64;

	/** A checked file has errors. */
	public static final int DATA = 65;

	/** A file cannot be read. */
	public static final int NO_INPUT = 66;

	/** No daemon knows the backend server. */
	public static final int NO_HOST = 68;

	/** The logs contain no line about the request. */
	public static final int NO_REQUEST = 68;

	/** No daemon responded. */
	public static final int UNAVAILABLE = 69;

	/** Internal error of the program. */
	public static final int SOFTWARE = 70;

	/** Some daemons did not respond. */
	public static final int PARTIAL = 75;

	private ExitStatus() {
	}

}
