package org.wigeonmast.verification.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Each fault at each step of a request and of a manifest change, compared with
 * {@code docs/fault-matrix.md}.
 * <p>
 * The page is written with {@code mvn -o verify -pl wigeonmast-verification -am
 * -Dtest=FaultMatrixTests -Dsurefire.failIfNoSpecifiedTests=false
 * -Dwigeonmast.matrix.write=true}.
 */
class FaultMatrixTests {

	private static final Path PAGE = Path.of("..", "docs", "fault-matrix.md");

	private static final String INTRODUCTION = """
			# Fault matrix

			Each fault begins at the moment at which a step is reached, in a fleet of 3 daemons and 4 backend
			servers (floor 2) in virtual time with seed 1. A pause ends after 6 s in a request's cell; other faults
			last until the cell's result is known. Then all faults end, and the manifest has to be in force on all
			live daemons within 8 s and every daemon ready within 40 s. A cell says what the caller of a
			non-idempotent request of long work was told, or after how many milliseconds of the fault a manifest was
			in force on all live daemons, and whether the oracle objects. `FaultMatrixTests` generates this page with
			`-Dwigeonmast.matrix.write=true`; it fails when the page differs or the oracle objects.

			""";

	/**
	 * Guards against a fault that breaks a guarantee at a particular step, and against
	 * outcomes that change unnoticed.
	 */
	@Test
	void eachFaultAtEachStepKeepsTheGuarantees() throws IOException {
		List<String> objections = new ArrayList<>();
		String page = INTRODUCTION + table("Requests", MatrixCell.REQUEST_STEPS, objections) + "\n"
				+ table("Manifest changes", MatrixCell.MANIFEST_STEPS, objections);
		if (Boolean.getBoolean("wigeonmast.matrix.write")) {
			Files.writeString(PAGE, page);
		}
		assertThat(objections).isEmpty();
		assertThat(page).isEqualTo(Files.readString(PAGE));
	}

	private static String table(String title, List<String> steps, List<String> objections) {
		StringBuilder text = new StringBuilder("## " + title + "\n\n| Fault | " + String.join(" | ", steps) + " |\n|")
			.append(" --- |".repeat(steps.size() + 1))
			.append('\n');
		for (MatrixFault fault : MatrixFault.all()) {
			text.append("| ").append(fault.name()).append(" |");
			for (String step : steps) {
				MatrixCell cell = new MatrixCell(fault, step);
				text.append(' ').append(cell.run()).append(" |");
				cell.violations()
					.forEach((violation) -> objections.add(fault.name() + " at " + step + ": " + violation));
			}
			text.append('\n');
		}
		return text.toString();
	}

}
