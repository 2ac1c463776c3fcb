package org.wigeonmast.settings.internal;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * The type of a share in percent.
 * <p>
 * Thread safety: immutable. Invariant: the parsed value is a fraction from 0 to 1.
 */
final class ShareType implements ValueType<Double> {

	private static final Pattern PATTERN = Pattern.compile("([0-9]{1,3})\\s*%");

	private static final int MAX_PERCENT = 100;

	@Override
	public Either<ValueProblem, Double> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(1)) > MAX_PERCENT) {
			return Either.left(SettingsErrorMessages.notAShare(text));
		}
		return Either.right(Integer.parseInt(matcher.group(1)) / (double) MAX_PERCENT);
	}

}
