package org.wigeonmast.settings;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.google.common.truth.Truth;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceptions and errors without a message when a settings file is damaged.
 */
class SettingsHostileInputTests {

	private static final byte[] COMPLETE = SettingsReaderTests.COMPLETE.getBytes(StandardCharsets.UTF_8);

	private static void readAndCheck(byte[] bytes) {
		Either<List<SettingsError>, DaemonSettings> result = new SettingsReader().read("test.ini", bytes);
		if (result.isLeft()) {
			Truth.assertThat(result.getLeft()).isNotEmpty();
			result.getLeft().forEach((error) -> {
				Truth.assertThat(error.problem()).isNotEmpty();
				Truth.assertThat(error.remedy()).endsWith(".");
				Truth.assertThat(error.toString()).doesNotContainMatch("\\p{Cntrl}");
			});
		}
	}

	@Test
	void truncationAtEveryLength() {
		for (int length = 0; length < COMPLETE.length; length++) {
			readAndCheck(Arrays.copyOf(COMPLETE, length));
		}
	}

	@Property(tries = 3_000, seed = "20261204")
	void changedBytes(@ForAll @Size(min = 1, max = 4) List<@IntRange(max = 1_000_000) Integer> offsets,
			@ForAll byte value) {
		byte[] bytes = COMPLETE.clone();
		offsets.forEach((place) -> bytes[place % bytes.length] = value);
		readAndCheck(bytes);
	}

	@Property(tries = 1_000, seed = "20261205")
	void arbitraryText(@ForAll @Size(max = 20) List<@IntRange(max = 12) Integer> indexes) {
		String[] tokens = { "[", "]", "=", ":", ";", "#", "\"", "\\", "\n", " ", "daemon", "name", "\u0000" };
		StringBuilder text = new StringBuilder();
		indexes.forEach((piece) -> text.append(tokens[piece]));
		readAndCheck(text.toString().getBytes(StandardCharsets.UTF_8));
	}

}
