package org.wigeonmast.manifest;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.wigeonmast.manifest.internal.Hashes;

/**
 * Guards against exceptions, unbounded error lists and silent acceptance for damaged or
 * malicious manifests.
 */
class ManifestHostileInputTests {

	private static final byte[] PART = JsonManifestCheckerTests.PART.getBytes(StandardCharsets.UTF_8);

	private static final int MAX_ERRORS = 1_001;

	private static Either<List<String>, Manifest> readAndCheck(byte[] part) {
		String hash = Hashes.sha256(part);
		ManifestIndex index = new ManifestIndex(1, "", List.of(new ManifestPart("all", hash, part.length)));
		Either<List<String>, Manifest> result = new JsonManifestChecker().check(index, Map.of(hash, part));
		if (result.isLeft()) {
			Truth.assertThat(result.getLeft()).isNotEmpty();
			Truth.assertThat(result.getLeft().size()).isAtMost(MAX_ERRORS);
			result.getLeft().forEach((error) -> {
				Truth.assertThat(error).isNotEmpty();
				Truth.assertThat(error.length()).isAtMost(2_000);
				Truth.assertThat(error).doesNotContainMatch("\\p{Cntrl}");
			});
		}
		return result;
	}

	@Test
	void documentTruncatedAtAnyLengthIsRejected() {
		String trimmed = JsonManifestCheckerTests.PART.strip();
		for (int length = 0; length < trimmed.length(); length++) {
			Truth.assertThat(readAndCheck(Arrays.copyOf(PART, length)).isLeft()).isTrue();
			Truth.assertThat(new JsonManifestChecker().readIndex(Arrays.copyOf(PART, length)).isLeft()).isTrue();
		}
	}

	@Property(tries = 3_000, seed = "20261204")
	void changedBytesRaiseNoException(@ForAll @Size(min = 1, max = 4) List<@IntRange(max = 1_000_000) Integer> places,
			@ForAll byte value) {
		byte[] bytes = PART.clone();
		places.forEach((place) -> bytes[place % bytes.length] = value);
		readAndCheck(bytes);
	}

	@Test
	void deepNestingAndHugeValuesAreRejected() {
		for (String text : List.of("[".repeat(500_000), "{\"routes\":".repeat(50_000), "9".repeat(900_000),
				"{\"routes\": [{\"timeoutMilliseconds\": 1e" + "9".repeat(30) + "}]}",
				"{\"routes\": [{\"timeoutMilliseconds\": " + "9".repeat(900_000) + "}]}",
				"{\"routes\": [{\"path\": \"" + "x".repeat(900_000) + "\"}]}", "{\"" + "x".repeat(900_000) + "\": 1}",
				"{\"routes\": [" + "0,".repeat(400_000) + "0]}", "{\"callers\": [" + "{},".repeat(300_000) + "{}]}")) {
			Truth.assertThat(readAndCheck(text.getBytes(StandardCharsets.UTF_8)).isLeft()).isTrue();
		}
	}

	/** Guards against a search for the first of many duplicates that takes minutes. */
	@Test
	void manyDuplicatesYieldABoundedErrorList() {
		String route = "{\"path\":\"/a\",\"service\":\"b\",\"class\":\"short\",\"idempotent\":true,"
				+ "\"timeoutMilliseconds\":1},";
		String text = "{\"routes\": [" + route.repeat(10_000) + route.substring(0, route.length() - 1) + "]}";
		Truth.assertThat(readAndCheck(text.getBytes(StandardCharsets.UTF_8)).getLeft()).hasSize(MAX_ERRORS);
	}

}
