package org.wigeonmast.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;
import org.wigeonmast.core.EventDefinition;

import static com.google.common.truth.Truth.assertThat;

/**
 * Compares {@code docs/events.md} with the events in the code.
 * <p>
 * The page is written with {@code mvn -o verify -pl wigeonmast-verification -am
 * -Dtest=EventCatalogueTests -Dsurefire.failIfNoSpecifiedTests=false
 * -Dwigeonmast.events.write=true}.
 */
class EventCatalogueTests {

	private static final Path PAGE = Path.of("..", "docs", "events.md");

	private static final String INTRODUCTION = """
			# Log events

			Every log event has a number that never changes its meaning. `EventCatalogueTests` generates this page
			with `-Dwigeonmast.events.write=true` and fails when it differs from the code.

			| Number | Name | Level | Text | Advice |
			| --- | --- | --- | --- | --- |
			""";

	/** Guards against events that operators cannot look up. */
	@Test
	void pageListsExactlyTheEvents() throws IOException {
		StringBuilder page = new StringBuilder(INTRODUCTION);
		for (EventDefinition event : events()) {
			page.append("| %d | `%s` | %s | %s | %s |\n".formatted(event.number(), ((Enum<?>) event).name(),
					event.level(), event.text().replace("|", "\\|"), event.advice().replace("|", "\\|")));
		}
		if (Boolean.getBoolean("wigeonmast.events.write")) {
			Files.writeString(PAGE, page);
		}
		assertThat(page.toString()).isEqualTo(Files.readString(PAGE));
	}

	/** Guards against a number that two events share. */
	@Test
	void numbersAreUnique() {
		List<Integer> numbers = events().stream().map(EventDefinition::number).toList();
		assertThat(numbers).containsNoDuplicates();
		assertThat(numbers).isNotEmpty();
	}

	private static List<EventDefinition> events() {
		return new ClassFileImporter().withImportOption(new ProductClasses())
			.importPackages("org.wigeonmast")
			.stream()
			.filter((type) -> type.isEnum() && type.isAssignableTo(EventDefinition.class))
			.map(JavaClass::reflect)
			.flatMap((type) -> Stream.of(type.getEnumConstants()))
			.map(EventDefinition.class::cast)
			.sorted(Comparator.comparingInt(EventDefinition::number))
			.toList();
	}

}
