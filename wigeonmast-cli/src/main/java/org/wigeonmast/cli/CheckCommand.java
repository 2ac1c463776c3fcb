package org.wigeonmast.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.wigeonmast.cli.internal.ManifestDirectory;
import org.wigeonmast.core.Step;
import org.wigeonmast.manifest.Manifest;
import org.wigeonmast.settings.SettingsError;
import org.wigeonmast.settings.SettingsReader;

/**
 * Command {@code check}: validates settings files and manifests and prints all errors.
 * <p>
 * Thread safety: none; one thread sets it up and calls it.
 */
public final class CheckCommand implements Command {

	private static final String JSON_SUFFIX = ".json";

	private final List<Path> files = new ArrayList<>();

	private final PrintStream out;

	private final PrintStream errors;

	/**
	 * Creates a command.
	 * @param out the stream for results
	 * @param errors the stream for errors
	 */
	public CheckCommand(PrintStream out, PrintStream errors) {
		this.out = out;
		this.errors = errors;
	}

	/**
	 * Adds a file to check.
	 * @param file a settings file, a part of a manifest whose name ends with
	 * {@code .json}, or a directory with a manifest
	 * @return this
	 */
	public CheckCommand addFile(Path file) {
		this.files.add(file);
		return this;
	}

	@Override
	public int call() throws CommandException {
		boolean isValid = true;
		for (Path file : this.files) {
			List<String> found = check(file);
			found.forEach((error) -> this.errors.println(Main.PROGRAM_NAME + ": " + error));
			isValid &= found.isEmpty();
		}
		return isValid ? ExitStatus.OK : ExitStatus.DATA;
	}

	private List<String> check(Path file) throws CommandException {
		try {
			if (Files.isDirectory(file)) {
				return reportResult(file, ManifestDirectory.read(file));
			}
			if (file.toString().endsWith(JSON_SUFFIX)) {
				return reportResult(file, ManifestDirectory.readPart(file));
			}
			return checkSettings(file);
		}
		catch (IOException | UncheckedIOException exception) {
			throw new CommandException(ExitStatus.NO_INPUT, Step.READ, file.toString(),
					"cannot be read: " + exception.getMessage() + "; name a file that exists and may be read",
					exception);
		}
	}

	private List<String> reportResult(Path file, Either<List<String>, Manifest> result) {
		result.peek((manifest) -> this.out
			.println(file + ": correct; version " + manifest.version() + ", " + manifest.services().size()
					+ " services, " + manifest.services().stream().mapToInt((service) -> service.servers().size()).sum()
					+ " backend servers"));
		return result.swap().getOrElse(List.of()).stream().map((error) -> file + ": " + error).toList();
	}

	private List<String> checkSettings(Path file) throws IOException {
		byte[] bytes;
		try (InputStream stream = Files.newInputStream(file)) {
			bytes = stream.readNBytes(SettingsReader.MAX_FILE_BYTES + 1);
		}
		return new SettingsReader().read(file.toString(), bytes)
			.peek((settings) -> this.out
				.println(file + ": correct; daemon " + settings.name() + " in " + settings.failureDomain()))
			.swap()
			.getOrElse(List.of())
			.stream()
			.map(SettingsError::toString)
			.toList();
	}

}
