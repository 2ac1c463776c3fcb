package org.wigeonmast.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.cli.internal.RequestTrace;
import org.wigeonmast.core.Step;

/**
 * Command {@code trace}: prints the timeline of one request from the logs of daemons.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class TraceCommand implements Command {

	private static final String STANDARD_INPUT = "standard input";

	private final List<Path> files = new ArrayList<>();

	private final String request;

	private final InputStream input;

	private final PrintStream out;

	private final PrintStream errors;

	/**
	 * Creates a command that reads logs from a stream unless files are added.
	 * @param request the identifier of the request
	 * @param input the stream
	 * @param out the stream for the timeline
	 * @param errors the stream for errors
	 */
	public TraceCommand(String request, InputStream input, PrintStream out, PrintStream errors) {
		this.request = request;
		this.input = input;
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a log to read.
	 * @param file the log of one or more daemons
	 * @return this
	 */
	public TraceCommand addFile(Path file) {
		this.files.add(file);
		return this;
	}

	@Override
	public int call() throws CommandException {
		RequestTrace trace = new RequestTrace(this.request);
		if (this.files.isEmpty()) {
			readLog(trace, this.input, STANDARD_INPUT);
		}
		for (Path file : this.files) {
			try (InputStream content = Files.newInputStream(file)) {
				readLog(trace, content, file.getFileName().toString());
			}
			catch (IOException exception) {
				throw createReadException(file.toString(), exception);
			}
		}
		if (trace.malformedLineCount() > 0) {
			this.errors.println(Main.PROGRAM_NAME + ": " + trace.malformedLineCount()
					+ " lines are not log events and were skipped");
		}
		if (trace.isEmpty()) {
			this.errors.println(Main.PROGRAM_NAME + ": no line names the request " + this.request);
			return ExitStatus.NO_REQUEST;
		}
		this.out.print(trace.timeline());
		return ExitStatus.OK;
	}

	private static void readLog(RequestTrace trace, InputStream content, String source) throws CommandException {
		BufferedReader lines = new BufferedReader(new InputStreamReader(content, StandardCharsets.UTF_8));
		try {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				trace.addLine(line, source);
			}
		}
		catch (IOException exception) {
			throw createReadException(source, exception);
		}
	}

	private static CommandException createReadException(String place, IOException cause) {
		return new CommandException(ExitStatus.NO_INPUT, Step.READ, place, "cannot be read: " + cause.getMessage(),
				cause);
	}

}
