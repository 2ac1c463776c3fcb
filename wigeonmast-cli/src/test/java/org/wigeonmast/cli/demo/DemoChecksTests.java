package org.wigeonmast.cli.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.wigeonmast.cli.demo.DemoRequest.Result;

/**
 * Guards against a demo that reports success although a guarantee did not hold.
 */
class DemoChecksTests {

	private static boolean allPassed(int sent, Result result, boolean idempotent, int runs) {
		DemoChecks checks = new DemoChecks(new PrintStream(new ByteArrayOutputStream()));
		checks.checkRequests(sent, List.of(new DemoRequest("r1", idempotent, 0, 1, result, "")), Map.of("r1", runs));
		return checks.allPassed();
	}

	@Test
	void eachBrokenGuaranteeIsReported() {
		Truth.assertThat(allPassed(1, Result.ANSWERED, false, 1)).isTrue();
		Truth.assertThat(allPassed(1, Result.ANSWERED, true, 2)).isTrue();
		Truth.assertThat(allPassed(1, Result.NOT_RUN, false, 0)).isTrue();
		Truth.assertThat(allPassed(1, Result.ANSWERED, false, 2)).isFalse();
		Truth.assertThat(allPassed(1, Result.NOT_RUN, true, 1)).isFalse();
		Truth.assertThat(allPassed(1, Result.FOREIGN, true, 1)).isFalse();
		Truth.assertThat(allPassed(1, Result.BROKEN, true, 1)).isFalse();
		Truth.assertThat(allPassed(2, Result.ANSWERED, true, 1)).isFalse();
	}

}
