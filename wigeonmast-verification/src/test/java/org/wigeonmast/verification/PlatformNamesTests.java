package org.wigeonmast.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Checks that only the adapter knows the platform's names. */
class PlatformNamesTests {

	private static final Path ROOT = Path.of("..");

	private static final List<String> NAMES = List.of("X-Attempt-Id", "X-Deadline-Ms", "X-Upstream-Signature",
			"X-Target-Instance", "X-Not-Executed", "X-Served-By", "op/config", "kv-range", "kv-watch", "trafficSplit",
			"warmupLeft", "internalPortRange", "retryBudgetRatio");

	/** Guards against names of the platform that spread into the product. */
	@Test
	void productDoesNotNameWhatThePlatformNames() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			List<Path> sources = files.filter(PlatformNamesTests::isProductSource).toList();
			assertThat(sources).isNotEmpty();
			for (Path source : sources) {
				String text = Files.readString(source);
				NAMES.forEach((name) -> assertThat(text.contains('"' + name) ? source + ": " + name : "").isEmpty());
			}
		}
	}

	private static boolean isProductSource(Path file) {
		String path = file.toString();
		return path.endsWith(".java") && path.contains("/src/main/") && path.startsWith("../wigeonmast-");
	}

}
