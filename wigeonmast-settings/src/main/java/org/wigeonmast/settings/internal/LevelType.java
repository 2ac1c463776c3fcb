package org.wigeonmast.settings.internal;

import java.util.Locale;
import java.util.Map;

import io.vavr.control.Either;
import org.apache.logging.log4j.Level;

/**
 * The type of a log level.
 * <p>
 * Thread safety: immutable.
 */
final class LevelType implements ValueType<Level> {

	private static final Map<String, Level> LEVELS = Map.of("error", Level.ERROR, "warn", Level.WARN, "info",
			Level.INFO, "debug", Level.DEBUG);

	@Override
	public Either<ValueProblem, Level> parse(String text) {
		Level level = LEVELS.get(text.toLowerCase(Locale.ROOT));
		return (level != null) ? Either.right(level) : Either.left(SettingsErrorMessages.notALevel(text));
	}

}
