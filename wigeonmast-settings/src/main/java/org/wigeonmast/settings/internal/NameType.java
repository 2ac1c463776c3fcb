package org.wigeonmast.settings.internal;

import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * The type of the name of a daemon, a region or a failure domain.
 * <p>
 * Thread safety: immutable.
 */
final class NameType implements ValueType<String> {

	private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	@Override
	public Either<ValueProblem, String> parse(String text) {
		return PATTERN.matcher(text).matches() ? Either.right(text) : Either.left(SettingsErrorMessages.notAName(text));
	}

}
