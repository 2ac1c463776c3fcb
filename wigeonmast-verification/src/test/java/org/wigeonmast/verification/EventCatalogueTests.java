package org.wigeonmast.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.EventDefinition;

import static com.google.common.truth.Truth.assertThat;

/**
 * Holds the catalogue of log events in the pages against the code. The page is written
 * anew with {@code mvn -pl wigeonmast-verification -am verify -Dtest=EventCatalogueTests
 * -Dsurefire.failIfNoSpecifiedTests=false -Dwigeonmast.events.write=true}.
 */
class EventCatalogueTests {

	private static final Path PAGE = Path.of("..", "docs", "events.md");

	private static final String HEAD = """
			# Log events

			Each line of the log is a JSON object. `entry.event` is the number of the event, `entry.name` its name and
			`entry.message` its text with the values filled in. Numbers are never reused.

			| Number | Name | Level | Text | What to do |
			| --- | --- | --- | --- | --- |
			""";

	// Guards against an event that operators cannot look up.
	@Test
	void pageListsEveryEvent() throws IOException {
		StringBuilder page = new StringBuilder(HEAD);
		for (EventDefinition event : events()) {
			page.append("| %d | %s | %s | %s | %s |\n".formatted(event.number(), event, event.level(),
					event.text().replace("{}", "`{}`"), event.advice()));
		}
		if (Boolean.getBoolean("wigeonmast.events.write")) {
			Files.writeString(PAGE, page);
		}
		assertThat(Files.readString(PAGE)).isEqualTo(page.toString());
	}

	// Guards against two events with one number, and against a slice that takes numbers
	// of another.
	@Test
	void numbersAreUnique() {
		assertThat(events().stream().map(EventDefinition::number).toList()).containsNoDuplicates();
	}

	private static List<EventDefinition> events() {
		List<EventDefinition> events = new ArrayList<>();
		for (JavaClass type : new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
			.importPackages("org.wigeonmast")) {
			if (type.isEnum() && type.isAssignableTo(EventDefinition.class)) {
				for (Object constant : type.reflect().getEnumConstants()) {
					events.add((EventDefinition) constant);
				}
			}
		}
		events.sort(Comparator.comparingInt(EventDefinition::number));
		return events;
	}

}
