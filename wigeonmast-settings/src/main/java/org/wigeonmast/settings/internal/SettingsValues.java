package org.wigeonmast.settings.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.wigeonmast.settings.SettingsError;
import org.wigeonmast.settings.internal.ValueType.ValueProblem;

/**
 * The parsed values of a settings file and the errors found while parsing.
 * <p>
 * Not thread-safe. Invariant: each key of {@link SettingsKeys} has either a value or an
 * error.
 */
final class SettingsValues {

	private final SettingsDocument document;

	private final Map<SettingsKey<?>, Object> values = new HashMap<>();

	private final List<SettingsError> errors = new ArrayList<>();

	SettingsValues(SettingsDocument document) {
		this.document = document;
		rejectUnknownKeys();
		for (SettingsKey<?> key : SettingsKeys.all()) {
			parse(key);
		}
	}

	String file() {
		return this.document.file();
	}

	List<SettingsError> errors() {
		return List.copyOf(this.errors);
	}

	void addError(SettingsError error) {
		this.errors.add(error);
	}

	<T> T get(SettingsKey<T> key) {
		return find(key).orElseThrow();
	}

	@SuppressWarnings("unchecked") // parse stores only values of the key's type
	<T> Optional<T> find(SettingsKey<T> key) {
		return Optional.ofNullable((T) this.values.get(key));
	}

	private void parse(SettingsKey<?> key) {
		List<String> texts = this.document.values(key);
		String defaultText = key.defaultText();
		if (texts.size() > 1) {
			this.errors.add(SettingsErrorMessages.duplicate(file(), key, texts.size()));
		}
		else if (texts.isEmpty() && defaultText == null) {
			this.errors.add(SettingsErrorMessages.missing(file(), key));
		}
		else {
			String text = texts.isEmpty() ? String.valueOf(defaultText) : texts.getFirst();
			Either<ValueProblem, ?> value = key.type().parse(text);
			value.peek((parsed) -> this.values.put(key, parsed));
			value.peekLeft((problem) -> this.errors.add(SettingsErrorMessages.invalidValue(file(), key, problem)));
		}
	}

	private void rejectUnknownKeys() {
		Map<String, Set<String>> known = new LinkedHashMap<>();
		for (SettingsKey<?> key : SettingsKeys.all()) {
			known.computeIfAbsent(key.section(), (section) -> new LinkedHashSet<>()).add(key.name());
		}
		this.document.keysOutsideSections()
			.forEach((key) -> this.errors.add(SettingsErrorMessages.outsideSection(file(), key)));
		this.document.sections().forEach((section, keys) -> {
			Set<String> names = known.get(section);
			if (names == null) {
				this.errors.add(SettingsErrorMessages.unknownSection(file(), section, known.keySet()));
				return;
			}
			keys.keySet()
				.stream()
				.filter((key) -> !names.contains(key))
				.forEach((key) -> this.errors.add(SettingsErrorMessages.unknownKey(file(), section, key, names)));
		});
	}

}
