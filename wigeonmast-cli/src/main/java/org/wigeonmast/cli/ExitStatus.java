package org.wigeonmast.cli;

/**
 * The exit statuses of {@code wigeonmast}, those of sysexits.h where one fits.
 * <p>
 * Thread safety: stateless.
 */
public final class ExitStatus {

	/** The command did what it was asked to. */
	public static final int OK = 0;

	/** The demo ran and a guarantee did not hold. */
	public static final int GUARANTEE_BROKEN = 1;

	/** The command line is wrong. */
	public static final int USAGE = 64;

	/** A checked file has errors. */
	public static final int DATA = 65;

	/** A file cannot be read. */
	public static final int NO_INPUT = 66;

	/** A daemon knows no backend server of the name. */
	public static final int NO_HOST = 68;

	/** No line of the logs names the request. */
	public static final int NO_REQUEST = 68;

	/** No daemon answered. */
	public static final int UNAVAILABLE = 69;

	/** A defect of the program. */
	public static final int SOFTWARE = 70;

	/** Some daemons answered and others did not. */
	public static final int PARTIAL = 75;

	private ExitStatus() {
	}

}
