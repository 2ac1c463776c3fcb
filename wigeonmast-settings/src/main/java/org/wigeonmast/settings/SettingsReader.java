package org.wigeonmast.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.wigeonmast.settings.internal.SettingsAssembler;
import org.wigeonmast.settings.internal.SettingsDocument;
import org.wigeonmast.settings.internal.SettingsErrorMessages;

/**
 * Reads the settings of a daemon and reports all errors at once.
 * <p>
 * Thread safety: stateless.
 */
public final class SettingsReader {

	/** Maximum size of a settings file. */
	public static final int MAX_FILE_BYTES = 64 * 1024;

	/**
	 * Reads a settings file.
	 * @param file the path of the file
	 * @return the settings, or every error found
	 */
	public Either<List<SettingsError>, DaemonSettings> read(Path file) {
		try (InputStream stream = Files.newInputStream(file)) {
			return read(file.toString(), stream.readNBytes(MAX_FILE_BYTES + 1));
		}
		catch (IOException exception) {
			return Either.left(List.of(SettingsErrorMessages.unreadable(file.toString(), exception)));
		}
	}

	/**
	 * Reads settings from the content of a file.
	 * @param file the file name to show in errors
	 * @param bytes the content, expected as UTF-8 text
	 * @return the settings, or every error found
	 */
	public Either<List<SettingsError>, DaemonSettings> read(String file, byte[] bytes) {
		if (bytes.length > MAX_FILE_BYTES) {
			return Either.left(List.of(SettingsErrorMessages.tooLarge(file, MAX_FILE_BYTES)));
		}
		return SettingsDocument.parse(file, bytes).flatMap(SettingsAssembler::assemble);
	}

}
