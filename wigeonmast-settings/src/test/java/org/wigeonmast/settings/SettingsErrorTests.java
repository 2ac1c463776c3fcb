package org.wigeonmast.settings;

import java.nio.file.Path;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid settings that a daemon accepts, and against errors that do not
 * name the section and key.
 */
class SettingsErrorTests {

	private static List<String> errors(String text) {
		return SettingsReaderTests.read(text)
			.swap()
			.getOrElse(List.of())
			.stream()
			.map(SettingsError::toString)
			.toList();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '"', value = {
			"name = entry-01            | name = -x            | [daemon] name: '-x' is not a name",
			"name = entry-01            | name =               | [daemon] name: '' is not a name",
			"name = entry-01            | name                 | [daemon] name: '' is not a name",
			"name = entry-01            | log-level = loud     | [daemon] log-level: 'loud' is not a log level",
			"address = 0.0.0.0          | address = entry.test | [callers] address: 'entry.test' is not an IP address",
			"address = 0.0.0.0          | address = 10.1       | [callers] address: '10.1' is not an IP address",
			"address = 0.0.0.0          | address = 224.0.0.1  | [callers] address: '224.0.0.1' is a multicast address",
			"address = 10.0.0.5         | address = 0.0.0.0    | [peers] address: '0.0.0.0' is the any address",
			"address = 10.0.0.5         | address = ::         | [peers] address: '::' is the any address",
			"address = 10.0.0.5         | address = 127.0.0.1  | [peers] address: '127.0.0.1' is a loopback address",
			"port = 7400                | port = 0             | [peers] port: '0' is out of range. Use 1 to 65535.",
			"port = 7400                | port = 8e3           | [peers] port: '8e3' is not a whole number",
			"port = 7400                | port = 7400 s        | [peers] port: '7400 s' has a unit",
			"port = 7400                | port = 99999999999999999999 | [peers] port: '99999999999999999999' is not a",
			"port = 7400                | port = 8080          | [peers] port: the address and port are also those of",
			"seeds = 10.0.0.5:7400,     | seeds = 10.0.0.5,    | [peers] seeds: '10.0.0.5' is not an address with a port",
			"seeds = 10.0.0.5:7400,     | seeds = 0.0.0.0:1,   | [peers] seeds: '0.0.0.0' is the any address",
			"seeds = 10.0.0.5:7400,     | seeds = [fd00::6]:7400, | [peers] seeds: '[fd00::6]:7400' is listed twice",
			"shared-key = MDEy          | shared-key = ?       | [peers] shared-key: the value is not Base64",
			"MDEyMzQ1Njc4OWFiY2Rl       | MDEy                 | [peers] shared-key: the key has 20 bytes, fewer than",
			"http://10.0.0.9:9000/      | 10.0.0.9:9000        | [store] base-url: '10.0.0.9:9000' is not a base URL",
			"http://10.0.0.9:9000/      | http://a/?b=c        | [store] base-url: 'http://a/?b=c' is not a base URL",
			"call-timeout = 500 ms      | call-timeout = 500   | [store] call-timeout: '500' has no unit",
			"call-timeout = 500 ms      | call-timeout = 500 m | [store] call-timeout: '500 m' has an unknown unit. "
					+ "Use one of the units ms, s, min, h.",
			"call-timeout = 500 ms      | call-timeout = 1 h   | [store] call-timeout: '1 h' is out of range. "
					+ "Use 100 ms to 1 min.",
			"call-timeout = 500 ms      | cal-timeout = 1 s    | [store] 'cal-timeout': the key is unknown",
			"head-size = 8KiB           | head-size = 8 KB     | [limits] head-size: '8 KB' has an unknown unit",
			"head-size = 8KiB           | region-link-share = 0.5 | [limits] region-link-share: '0.5' is not a share",
			"head-size = 8KiB           | region-link-share = 101 % | [limits] region-link-share: '101 %' is not a share",
			"head-size = 8KiB           | region-link-rate = 1 kbit/s | [limits] region-link-rate: '1 kbit/s' is out of "
					+ "range. Use 1 Mbit/s to 100 Gbit/s.",
			"region = addis             | name = entry-02      | [daemon] name: the key occurs 2 times",
			"region = addis             | ; region = addis     | [daemon] region: the key is missing",
			"[store]                    | [shop]               | ['shop']: the section is unknown",
			"[daemon]                   | stray = x            | 'stray': the key is above the first section" })
	void invalidSettingIsReportedWithItsLocation(String from, String to, String expected) {
		String text = SettingsReaderTests.COMPLETE.replace(from, to);
		Truth.assertThat(text).isNotEqualTo(SettingsReaderTests.COMPLETE);
		Truth.assertThat(errors(text).stream().filter((error) -> error.contains(expected)).toList()).hasSize(1);
	}

	/** Guards against a reader that stops at the first error. */
	@Test
	void allErrorsAreReportedAtOnce() {
		String text = SettingsReaderTests.COMPLETE.replace("port = 7400", "port = x")
			.replace("region = addis", "")
			.replace("8KiB", "8")
			.replace("[store]", "[shop]");
		Truth.assertThat(errors(text)).hasSize(5);
	}

	/** Guards against a shared key in logs and error messages. */
	@Test
	void sharedKeyIsNotShown() {
		Truth.assertThat(SettingsReaderTests.read(SettingsReaderTests.COMPLETE).get().toString()).contains("(hidden)");
		String text = SettingsReaderTests.COMPLETE.replace("MDEyMzQ1Njc4OWFiY2RlZjAx", "MDEyMzQ1Njc4OWF!");
		Truth.assertThat(errors(text).toString()).doesNotContain("MDEyMzQ1");
	}

	/** Guards against values that are expanded from environment variables. */
	@Test
	void variablesAreNotExpanded() {
		Truth.assertThat(errors(SettingsReaderTests.COMPLETE.replace("entry-01", "${env:PATH}")))
			.containsExactly("test.ini: [daemon] name: '${env:PATH}' is not a name. Use 1 to 63 letters, digits, dots, "
					+ "hyphens and underscores that start with a letter or digit.");
	}

	@Test
	void missingAndTooLargeFilesAreErrors() {
		SettingsReader reader = new SettingsReader();
		Truth.assertThat(reader.read(Path.of("absent.ini")).getLeft().toString())
			.contains("absent.ini: there is no such file");
		Truth.assertThat(reader.read("x", new byte[SettingsReader.MAX_FILE_BYTES + 1]).getLeft().toString())
			.contains("larger than");
	}

}
