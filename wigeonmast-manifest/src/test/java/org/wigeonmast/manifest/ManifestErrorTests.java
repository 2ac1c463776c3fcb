package org.wigeonmast.manifest;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid manifests that are accepted, and against error messages that do
 * not locate the error.
 */
class ManifestErrorTests {

	private final JsonManifestCheckerTests fixture = new JsonManifestCheckerTests();

	private List<String> errors(String part) {
		return this.fixture.check(part).swap().getOrElse(List.of());
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = {
			"\"floor\": 1 | \"floor\": 3 | all: the floor of service 'rota-board' is 3, but it has 2 backend servers",
			"\"floor\": 1 | \"floor\": -1 | all /services/0/floor: '-1' is not allowed; expected a whole number from 0",
			"\"floor\": 1 | \"floor\": 1.5 | all /services/0/floor: expected a whole number from 0 to 100000",
			"\"floor\": 1 | \"floor\": 99999999999999999999 | /services/0/floor: '99999999999999999999' is not allowed",
			"\"floor\": 1 | \"floor\": null | all /services/0/floor: expected a whole number",
			"\"floor\": 1, | | all /services/0: the field 'floor' is missing",
			"\"floor\": 1 | \"flor\": 1, \"floor\": 1 | all /services/0/flor: the field 'flor' is unknown; the fields are",
			"\"floor\": 1 | \"floor\": 1, \"floor\": 1 | Duplicate field 'floor'",
			"0.5 | 1.5 | all /services/0/longShare: '1.5' is not allowed; expected a number from 0 to 1",
			"0.5 | 1e999 | all /services/0/longShare: '1e999' is not allowed",
			"0.5 | 0 | all: the route POST '/rota/print' has the class long, but the longShare of service 'rota-board' is 0",
			"\"rb-2\" | \"rb-1\" | all: the backend server 'rb-1' is also in all; keep one of them",
			"10.0.0.2:8080 | 10.0.0.1:8080 | all: the address '10.0.0.1:8080' is also in all",
			"10.0.0.2:8080 | 10.0.0.2 | all /services/0/servers/1/address: '10.0.0.2' is not allowed; expected the IP",
			"10.0.0.2:8080 | 10.0.2:8080 | all /services/0/servers/1/address: '10.0.2:8080' is not allowed",
			"10.0.0.2:8080 | 10.0.0.256:8080 | /address: '10.0.0.256:8080' is not allowed",
			"10.0.0.2:8080 | 10.0.0.2:65536 | /address: '10.0.0.2:65536' is not allowed",
			"10.0.0.2:8080 | 0.0.0.0:8080 | /address: '0.0.0.0:8080' is not allowed",
			"10.0.0.2:8080 | [fd00::x]:8080 | /address: '[fd00::x]:8080' is not allowed",
			"10.0.0.2:8080 | host.test:8080 | /address: 'host.test:8080' is not allowed",
			"\"connections\": 330 | \"connections\": 1 | all: backend server 'rb-1' has 1 connections for 2 slots",
			"\"domain\": \"addis/b\" | \"domain\": \"addis/c\" | 'rb-2' is in the unknown failure domain 'addis/c'",
			"\"domain\": \"addis/b\" | \"domain\": \"addis\" | all /services/0/servers/1/domain: 'addis' is not allowed",
			"\"name\": \"addis/b\" | \"name\": \"addis/a\" | all: the failure domain 'addis/a' is also in all",
			"\"daemons\": 9 | \"daemons\": 0 | no failure domain has daemons",
			"\"path\": \"/rota/print\" | \"path\": \"/rota/../x\" | all /routes/1/path: '/rota/../x' is not allowed",
			"\"path\": \"/rota/print\" | \"path\": \"/rota//x\" | all /routes/1/path: '/rota//x' is not allowed",
			"\"path\": \"/rota/print\" | \"path\": \"/rota/\" | all /routes/1/path: '/rota/' is not allowed",
			"\"path\": \"/rota/print\" | \"path\": \"/rota?a\" | all /routes/1/path: '/rota?a' is not allowed",
			"\"method\": \"POST\", \"path\": \"/rota/print\" | \"path\": \"/rota\" | the route * /rota' is also in all",
			"\"path\": \"/rota\", \"service\": \"rota-board\" | \"path\": \"/rota\", \"service\": \"x\" | all: the route "
					+ "* '/rota' leads to the unknown service 'x'",
			"\"long\" | \"huge\" | all /routes/1/class: 'huge' is not allowed; expected short or long",
			"\"idempotent\": true | \"idempotent\": 1 | all /routes/0/idempotent: expected true or false",
			"\"id\": \"kitchen-7\" | \"id\": \"kitchen 7\" | all /callers/0/id: 'kitchen 7' is not allowed; expected an",
			"{\"id\": \"kitchen-7\" | {\"id\": \"kitchen-7\", \"requestsPerSecond\": 1}, {\"id\": \"kitchen-7\" | all: the "
					+ "caller 'kitchen-7' is also in all",
			"[{\"id\": \"kitchen-7\", \"requestsPerSecond\": 50}] | {} | all /callers: expected an array",
			"[{\"id\": \"kitchen-7\", \"requestsPerSecond\": 50}] | [7] | all /callers/0: expected an object",
			"[{\"id\": \"kitchen-7\", \"requestsPerSecond\": 50}] | [[[[[[[[[]]]]]]]]] | nesting depth (9) exceeds" })
	void invalidEntryIsReportedWithItsLocation(String from, String to, String expected) {
		String part = JsonManifestCheckerTests.PART.replace(from, (to != null) ? to : "");
		Truth.assertThat(part).isNotEqualTo(JsonManifestCheckerTests.PART);
		Truth.assertThat(errors(part).toString()).contains(expected.replace("route * /rota'", "route '* /rota'"));
	}

	/** Guards against validation that stops at the first error. */
	@Test
	void allErrorsAreReportedAtOnce() {
		String part = JsonManifestCheckerTests.PART.replace("\"floor\": 1", "\"floor\": 5")
			.replace("10.0.0.1:8080", "10.0.0.1")
			.replace("\"service\": \"rota-board\"", "\"service\": \"claim-desk\"")
			.replace("\"id\": \"kitchen-7\"", "\"name\": \"kitchen-7\"");
		Truth.assertThat(errors(part)).hasSize(6);
	}

	@Test
	void partThatDiffersFromTheIndexIsRejected() {
		JsonManifestChecker checker = new JsonManifestChecker();
		ManifestIndex index = new ManifestIndex(1, "", List.of(new ManifestPart("a", "0".repeat(64), 2)));
		Truth.assertThat(checker.check(index, Map.of()).getLeft().toString()).contains("a: no bytes for hash 0");
		Truth.assertThat(checker.check(index, Map.of("0".repeat(64), new byte[3])).getLeft().toString())
			.contains("a: has 3 bytes, but the index states 2");
		Truth.assertThat(checker.check(index, Map.of("0".repeat(64), new byte[2])).getLeft().toString())
			.contains("a: the bytes do not have the SHA-256 0");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = {
			"{\"version\": 0, \"parts\": []} | index /version: '0' is not allowed",
			"{\"version\": 9223372036854775808, \"parts\": []} | index /version: '9223372036854775808' is not allowed",
			"{\"parts\": []} | index: the field 'version' is missing",
			"{\"version\": 1} | index: the field 'parts' is missing",
			"{\"version\": 1, \"parts\": [{\"name\": \"a\", \"size\": 1}]} | index /parts/0: the field 'sha256' is missing",
			"{\"version\": 1, \"parts\": [{\"name\": \"a\", \"sha256\": \"AA\", \"size\": 1000001}]} | /parts/0/sha256: 'AA'",
			"{\"version\": 1, \"parts\": []} {} | index: text follows the end of the document",
			"[] | index: expected an object", "`` | index: the document is empty", "nul | index: invalid JSON" })
	void invalidIndexIsRejected(String text, String expected) {
		Truth
			.assertThat(new JsonManifestChecker().readIndex(text.getBytes(StandardCharsets.UTF_8)).getLeft().toString())
			.contains(expected);
	}

}
