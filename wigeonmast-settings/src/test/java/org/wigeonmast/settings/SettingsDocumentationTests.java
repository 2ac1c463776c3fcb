package org.wigeonmast.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.settings.internal.SettingsKey;
import org.wigeonmast.settings.internal.SettingsKeys;

/**
 * Guards against a reference or an example in the documentation that lacks a key or
 * states a wrong default.
 */
class SettingsDocumentationTests {

	private static List<String[]> referenceRows() throws Exception {
		String page = Files.readString(Path.of("../docs/OPERATIONS.md"));
		String reference = page.substring(page.indexOf("| Section | Key"), page.indexOf("Make a key with"));
		return reference.lines()
			.skip(2)
			.filter((line) -> line.startsWith("|"))
			.map((line) -> Arrays.stream(line.split("\\|")).map(String::strip).toArray(String[]::new))
			.toList();
	}

	@Test
	void referenceListsEveryKeyWithItsDefault() throws Exception {
		List<SettingsKey<?>> keys = SettingsKeys.all();
		List<String[]> rows = referenceRows();
		Truth.assertThat(rows).hasSize(keys.size());
		String section = "";
		for (int i = 0; i < keys.size(); i++) {
			section = rows.get(i)[1].isEmpty() ? section : rows.get(i)[1];
			String defaultText = keys.get(i).defaultText();
			String shown = (defaultText != null) ? "`" + defaultText + "`" : "required";
			Truth.assertThat(List.of(section, rows.get(i)[2], rows.get(i)[3]))
				.containsExactly("`" + keys.get(i).section() + "`", "`" + keys.get(i).name() + "`",
						shown.replace("``", "none"))
				.inOrder();
		}
	}

	@Test
	void exampleNamesEveryKeyAndIsCorrect() throws Exception {
		String example = Files.readString(Path.of("../docs/examples/wigeonmastd.ini"));
		for (SettingsKey<?> key : SettingsKeys.all()) {
			Truth.assertThat(example).containsMatch("(?m)^;?" + key.name() + " = ");
		}
		String everything = example.replaceAll("(?m)^;([a-z-]+ = )", "$1");
		Truth.assertThat(SettingsReaderTests.read(example)).isEqualTo(SettingsReaderTests.read(everything));
		Truth.assertThat(SettingsReaderTests.read(everything).isRight()).isTrue();
	}

}
