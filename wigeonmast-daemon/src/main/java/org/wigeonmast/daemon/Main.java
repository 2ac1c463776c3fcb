package org.wigeonmast.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.config.Configurator;
import org.wigeonmast.core.EventLog;
import org.wigeonmast.core.WigeonmastException;
import org.wigeonmast.settings.DaemonSettings;
import org.wigeonmast.settings.SettingsError;
import org.wigeonmast.settings.SettingsReader;

/**
 * Entry point of {@code wigeonmastd}.
 * <p>
 * Thread safety: stateless.
 */
public final class Main {

	/** Exit status after a planned stop. */
	public static final int EXIT_STOPPED = 0;

	/** Exit status for wrong arguments. */
	public static final int EXIT_USAGE = 64;

	/** Exit status when the daemon cannot start, for example because a port is in use. */
	public static final int EXIT_UNAVAILABLE = 69;

	/** Exit status for wrong settings. */
	public static final int EXIT_SETTINGS = 78;

	private static final String NAME = "wigeonmastd";

	private static final String SETTINGS = "settings";

	private static final String HELP = "help";

	private static final String VERSION = "version";

	private static final Options OPTIONS = new Options()
		.addOption(Option.builder("s").longOpt(SETTINGS).hasArg().argName("FILE").desc("settings file (INI)").get())
		.addOption(Option.builder("h").longOpt(HELP).desc("print this help").get())
		.addOption(Option.builder("V").longOpt(VERSION).desc("print the version").get());

	private Main() {
	}

	/**
	 * Starts the daemon and returns; the process exits after SIGTERM.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		PrintStream errors = System.err;
		try {
			CommandLine line = new DefaultParser().parse(OPTIONS, arguments);
			if (line.hasOption(HELP)) {
				printHelp();
			}
			else if (line.hasOption(VERSION)) {
				System.out.println(NAME + " " + version());
			}
			else if (!line.hasOption(SETTINGS) || !line.getArgList().isEmpty()) {
				throw new ParseException("give exactly one option --settings FILE");
			}
			else {
				start(Path.of(line.getOptionValue(SETTINGS)), errors);
			}
		}
		catch (ParseException exception) {
			errors.println(NAME + ": " + exception.getMessage() + "; see " + NAME + " --help");
			System.exit(EXIT_USAGE);
		}
	}

	private static void start(Path file, PrintStream errors) {
		Either<List<SettingsError>, DaemonSettings> read = new SettingsReader().read(file);
		if (read.isLeft()) {
			read.getLeft().forEach((error) -> errors.println(NAME + ": " + error));
			System.exit(EXIT_SETTINGS);
		}
		DaemonSettings settings = read.get();
		Configurator.setRootLevel(settings.logLevel());
		try {
			Daemon daemon = new Daemon(settings);
			daemon.start();
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
		}
		catch (WigeonmastException exception) {
			new EventLog(Main.class).log(DaemonEvent.START_FAILED, exception.getMessage());
			errors.println(NAME + ": " + exception.getMessage());
			System.exit(EXIT_UNAVAILABLE);
		}
	}

	/**
	 * Completes all requests, then halts the process with status 0 instead of the status
	 * of the signal. The Java runtime ignores further signals while this runs.
	 * @param daemon the daemon
	 */
	private static void stop(Daemon daemon) {
		daemon.stop().join();
		LogManager.shutdown();
		Runtime.getRuntime().halt(EXIT_STOPPED);
	}

	private static String version() {
		String version = Main.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development build";
	}

	private static void printHelp() {
		HelpFormatter formatter = new HelpFormatter();
		formatter.printHelp(NAME + " --settings FILE", "Daemon of the wigeonmast proxy fleet.", OPTIONS,
				"Exit status: 0 planned stop, 64 wrong arguments, 69 cannot start, 78 wrong settings.");
	}

}
