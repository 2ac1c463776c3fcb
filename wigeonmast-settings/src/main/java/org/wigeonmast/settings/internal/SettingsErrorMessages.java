package org.wigeonmast.settings.internal;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.Collection;

import org.wigeonmast.core.SharedKey;
import org.wigeonmast.settings.SettingsError;
import org.wigeonmast.settings.internal.ValueType.ValueProblem;

/**
 * Factory of all errors in settings files, with their messages.
 * <p>
 * Thread safety: stateless.
 */
public final class SettingsErrorMessages {

	/** Maximum number of characters of an invalid value that a message quotes. */
	private static final int MAX_QUOTE_LENGTH = 60;

	private SettingsErrorMessages() {
	}

	/**
	 * Returns the error for a file that cannot be read.
	 * @param file the name of the file
	 * @param exception the cause
	 * @return the error
	 */
	public static SettingsError unreadable(String file, IOException exception) {
		String reason = (exception instanceof NoSuchFileException) ? "there is no such file"
				: "the file cannot be read: " + exception.getMessage();
		return fileError(file, reason, "Name a settings file that the daemon may read.");
	}

	/**
	 * Returns the error for a file that is too large.
	 * @param file the name of the file
	 * @param maxBytes the maximum size in bytes
	 * @return the error
	 */
	public static SettingsError tooLarge(String file, int maxBytes) {
		return fileError(file, "the file is larger than " + maxBytes + " bytes", "Name a settings file.");
	}

	static SettingsError notUtf8(String file) {
		return fileError(file, "the file is not UTF-8 text", "Write the file again as UTF-8 text.");
	}

	static SettingsError notIni(String file, String reason) {
		return fileError(file, "the file is not an INI file: " + reason,
				"Write lines of the form 'key = value' below " + "'[section]' lines.");
	}

	static SettingsError outsideSection(String file, String key) {
		return new SettingsError(file, "", quote(key), "the key is above the first section",
				"Move it below the line of its section, for example [daemon].");
	}

	static SettingsError unknownSection(String file, String section, Collection<String> known) {
		return new SettingsError(file, quote(section), "", "the section is unknown",
				"Remove it or use one of: " + String.join(", ", known) + ".");
	}

	static SettingsError unknownKey(String file, String section, String key, Collection<String> known) {
		return new SettingsError(file, section, quote(key), "the key is unknown",
				"Remove it or use one of: " + String.join(", ", known) + ".");
	}

	static SettingsError duplicate(String file, SettingsKey<?> key, int count) {
		return new SettingsError(file, key.section(), key.name(), "the key occurs " + count + " times",
				"Keep one of the lines.");
	}

	static SettingsError missing(String file, SettingsKey<?> key) {
		return new SettingsError(file, key.section(), key.name(), "the key is missing",
				"Add a line '" + key.name() + " = ...' to section [" + key.section() + "].");
	}

	static SettingsError invalidValue(String file, SettingsKey<?> key, ValueProblem problem) {
		return new SettingsError(file, key.section(), key.name(), problem.problem(), problem.remedy());
	}

	static SettingsError portConflict(String file, SettingsKey<?> key, SettingsKey<?> other) {
		return new SettingsError(file, key.section(), key.name(),
				"the address and port are also those of section [" + other.section() + "]",
				"Give each section a port of its own.");
	}

	static SettingsError loopbackPeer(String file, SettingsKey<?> key, String address) {
		return new SettingsError(file, key.section(), key.name(),
				quote(address) + " is a loopback address, which the seeds on other hosts cannot reach",
				"Use the address at which the other daemons reach this host.");
	}

	static ValueProblem notANumber(String text, Collection<String> units, String range) {
		String problem = units.contains("") ? " is not a whole number" : " is not a whole number with a unit";
		return new ValueProblem(quote(text) + problem, "Use " + range + ".");
	}

	static ValueProblem invalidUnit(String text, String unit, Collection<String> units) {
		if (units.contains("")) {
			return new ValueProblem(quote(text) + " has a unit", "Write the number without a unit.");
		}
		String problem = unit.isEmpty() ? quote(text) + " has no unit" : quote(text) + " has an unknown unit";
		return new ValueProblem(problem, "Use one of the units " + String.join(", ", units) + ".");
	}

	static ValueProblem outOfRange(String text, String range) {
		return new ValueProblem(quote(text) + " is out of range", "Use " + range + ".");
	}

	static ValueProblem notAName(String text) {
		return new ValueProblem(quote(text) + " is not a name",
				"Use 1 to 63 letters, digits, dots, hyphens and underscores that start with a letter or digit.");
	}

	static ValueProblem notALevel(String text) {
		return new ValueProblem(quote(text) + " is not a log level", "Use error, warn, info or debug.");
	}

	static ValueProblem notAnAddress(String text) {
		return new ValueProblem(quote(text) + " is not an IP address",
				"Use an IPv4 address with four numbers or an IPv6 address; names are not resolved.");
	}

	static ValueProblem multicastAddress(String text) {
		return new ValueProblem(quote(text) + " is a multicast address", "Use the address of one host.");
	}

	static ValueProblem anyAddress(String text) {
		return new ValueProblem(quote(text) + " is the any address, which other daemons cannot connect to",
				"Use the address at which the other daemons reach this host.");
	}

	static ValueProblem notAHostAddress(String text) {
		return new ValueProblem(quote(text) + " is not an address with a port",
				"Separate entries by commas and use the form 10.0.0.5:7400 or [fd00::5]:7400.");
	}

	static ValueProblem duplicateEntry(String text) {
		return new ValueProblem(quote(text) + " is listed twice", "Remove one of the entries.");
	}

	static ValueProblem notBase64() {
		return new ValueProblem("the value is not Base64", newKeyRemedy());
	}

	static ValueProblem keyTooShort(int length) {
		return new ValueProblem("the key has " + length + " bytes, fewer than " + SharedKey.MIN_LENGTH_BYTES,
				newKeyRemedy());
	}

	static ValueProblem notAUrl(String text) {
		return new ValueProblem(quote(text) + " is not a base URL",
				"Use http:// or https:// with a host, without user, query and fragment.");
	}

	static ValueProblem notAShare(String text) {
		return new ValueProblem(quote(text) + " is not a share", "Use 0 % to 100 %.");
	}

	private static String newKeyRemedy() {
		return "Use a key made by 'openssl rand -base64 32', the same on all daemons.";
	}

	private static SettingsError fileError(String file, String problem, String remedy) {
		return new SettingsError(file, "", "", problem, remedy);
	}

	private static String quote(String text) {
		String truncated = (text.length() > MAX_QUOTE_LENGTH) ? text.substring(0, MAX_QUOTE_LENGTH) + "..." : text;
		return "'" + truncated.replaceAll("\\p{Cntrl}", "?") + "'";
	}

}
