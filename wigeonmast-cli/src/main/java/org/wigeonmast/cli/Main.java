package org.wigeonmast.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wigeonmast.core.HostAddress;

/**
 * Entry point of {@code wigeonmast}, the command-line tool for operators.
 * <p>
 * Thread safety: none; one thread runs it.
 */
public final class Main {

	/** Name of the program, the prefix of its error messages. */
	static final String PROGRAM_NAME = "wigeonmast";

	private static final String ADMIN = "admin";

	private static final String ALL = "all";

	private static final String SINCE = "since";

	private static final String HELP = "help";

	private static final String VERSION = "version";

	private static final String DEFAULT_ADMIN = "127.0.0.1:8081";

	private static final Options OPTIONS = new Options()
		.addOption(Option.builder("a").longOpt(ADMIN).hasArg().argName("ADDRESS:PORT").get())
		.addOption(Option.builder().longOpt(ALL).get())
		.addOption(Option.builder().longOpt(SINCE).hasArg().argName("NUMBER").get())
		.addOption(Option.builder("h").longOpt(HELP).get())
		.addOption(Option.builder("V").longOpt(VERSION).get());

	private static final String USAGE = """
			usage: wigeonmast COMMAND [options]

			  check FILE...    check settings files (INI), parts of a manifest (FILE.json) or manifest directories
			  status           readiness, manifest in force, services and members of a daemon
			  explain HOST     why a backend server has its state, as every daemon sees it;
			                   HOST is its identifier, its address with port, or the IP address of its host
			  audit            audit entries in order of time
			  trace ID [FILE...]
			                   timeline of a request, from the logs of daemons (standard input without FILE)
			  demo             a fleet of three daemons in one process with a scripted gray failure (about 30 s)

			options:
			  -a, --admin ADDRESS:PORT   admin address of a daemon; may be repeated (default 127.0.0.1:8081)
			      --all                  status: ask all daemons found from the status of the one named
			      --since NUMBER         audit: only entries after this number
			  -h, --help                 print this help
			  -V, --version              print the version

			With a single --admin, explain discovers the other daemons from that daemon's status; it assumes
			that their admin port is the same.

			exit status: 0 done; 1 a guarantee did not hold in the demo; 64 wrong command line; 65 errors in a checked
			file; 66 file cannot be read; 68 no daemon knows the host, or no line names
			the request; 69 no daemon answered; 70 defect; 75 some daemons
			did not answer
			""";

	private final PrintStream out;

	private final PrintStream errors;

	Main(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Runs a command and ends the process with its exit status.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new Main(System.out, System.err).run(arguments));
	}

	/**
	 * Runs a command.
	 * @param arguments the command line
	 * @return the exit status
	 */
	int run(String... arguments) {
		try {
			CommandLine line = new DefaultParser().parse(OPTIONS, arguments);
			if (line.hasOption(HELP)) {
				this.out.print(USAGE);
				return ExitStatus.OK;
			}
			if (line.hasOption(VERSION)) {
				this.out.println(PROGRAM_NAME + " " + version());
				return ExitStatus.OK;
			}
			return createCommand(line).call();
		}
		catch (ParseException exception) {
			return fail(ExitStatus.USAGE, exception.getMessage() + "; see " + PROGRAM_NAME + " --help");
		}
		catch (CommandException exception) {
			return fail(exception.exitStatus(), exception.getMessage());
		}
		catch (InterruptedException exception) {
			Thread.currentThread().interrupt();
			return fail(ExitStatus.SOFTWARE, "interrupted");
		}
	}

	private Command createCommand(CommandLine line) throws ParseException {
		List<String> arguments = line.getArgList();
		if (arguments.isEmpty()) {
			throw new ParseException("the command is missing");
		}
		List<String> operands = arguments.subList(1, arguments.size());
		return switch (arguments.getFirst()) {
			case "check" -> createCheckCommand(operands);
			case "status" -> {
				StatusCommand status = new StatusCommand(this.out, this.errors).setAll(line.hasOption(ALL));
				yield addAdmins(line, operands, 0, status, status::addAdmin);
			}
			case "explain" -> {
				ExplainCommand explain = new ExplainCommand(this.out, this.errors);
				operands.forEach(explain::setHost);
				yield addAdmins(line, operands, 1, explain, explain::addAdmin);
			}
			case "audit" -> {
				AuditCommand audit = new AuditCommand(this.out, this.errors).setSince(parseSince(line));
				yield addAdmins(line, operands, 0, audit, audit::addAdmin);
			}
			case "trace" -> createTraceCommand(operands);
			case "demo" -> new DemoCommand(this.out);
			default -> throw new ParseException("there is no command '" + arguments.getFirst() + "'");
		};
	}

	private CheckCommand createCheckCommand(List<String> operands) throws ParseException {
		if (operands.isEmpty()) {
			throw new ParseException("check needs at least one file");
		}
		CheckCommand check = new CheckCommand(this.out, this.errors);
		operands.forEach((file) -> check.addFile(Path.of(file)));
		return check;
	}

	private TraceCommand createTraceCommand(List<String> operands) throws ParseException {
		if (operands.isEmpty()) {
			throw new ParseException("trace needs the identifier of a request");
		}
		TraceCommand trace = new TraceCommand(operands.getFirst(), System.in, this.out, this.errors);
		operands.stream().skip(1).forEach((file) -> trace.addFile(Path.of(file)));
		return trace;
	}

	private static Command addAdmins(CommandLine line, List<String> operands, int expectedOperands, Command command,
			Consumer<HostAddress> adminConsumer) throws ParseException {
		if (operands.size() != expectedOperands) {
			throw new ParseException("expected " + expectedOperands + " operands, found " + operands.size());
		}
		String[] addresses = line.hasOption(ADMIN) ? line.getOptionValues(ADMIN) : new String[] { DEFAULT_ADMIN };
		List<HostAddress> admins = new ArrayList<>();
		for (String text : addresses) {
			admins.add(parseAdmin(text));
		}
		admins.forEach(adminConsumer);
		return command;
	}

	private static HostAddress parseAdmin(String text) throws ParseException {
		int colon = text.lastIndexOf(':');
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			if (colon <= 0 || port < 1 || port > 65_535) {
				throw new ParseException("--admin needs an address and a port, not '" + text + "'");
			}
			return new HostAddress(text.substring(0, colon).replaceAll("[\\[\\]]", ""), port);
		}
		catch (NumberFormatException exception) {
			throw new ParseException("--admin needs an address and a port, not '" + text + "'");
		}
	}

	private static long parseSince(CommandLine line) throws ParseException {
		try {
			return Long.parseLong(line.getOptionValue(SINCE, "0"));
		}
		catch (NumberFormatException exception) {
			throw new ParseException("--since needs the number of an audit entry");
		}
	}

	private int fail(int status, String message) {
		this.errors.println(PROGRAM_NAME + ": " + message);
		return status;
	}

	private static String version() {
		String version = Main.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development build";
	}

}
