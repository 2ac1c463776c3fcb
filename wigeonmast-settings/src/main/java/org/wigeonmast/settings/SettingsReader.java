package org.wigeonmast.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.wigeonmast.settings.internal.SettingsAssembler;
import org.wigeonmast.settings.internal.SettingsDocument;
import org.wigeonmast.settings.internal.SettingsTexts;

/**
 * Reads the settings of a daemon and reports all errors at once.
 * <p>
 * Thread safety: stateless.
 */
public final class SettingsReader {

	/** Greatest size of a settings file in bytes. */
	public static final int GREATEST_SIZE = 64 * 1024;

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the settings, or every error found
	 */
	public Either<List<SettingsError>, DaemonSettings> read(Path file) {
		try (InputStream stream = Files.newInputStream(file)) {
			return read(file.toString(), stream.readNBytes(GREATEST_SIZE + 1));
		}
		catch (IOException exception) {
			return Either.left(List.of(SettingsTexts.unreadable(file.toString(), exception)));
		}
	}

	/**
	 * Reads the bytes of a file.
	 * @param file the name of the file for errors
	 * @param bytes the bytes
	 * @return the settings, or every error found
	 */
	public Either<List<SettingsError>, DaemonSettings> read(String file, byte[] bytes) {
		if (bytes.length > GREATEST_SIZE) {
			return Either.left(List.of(SettingsTexts.tooLarge(file, GREATEST_SIZE)));
		}
		return SettingsDocument.parse(file, bytes).flatMap(SettingsAssembler::assemble);
	}

}
