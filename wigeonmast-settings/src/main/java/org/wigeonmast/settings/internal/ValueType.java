package org.wigeonmast.settings.internal;

import io.vavr.control.Either;

/**
 * The type of a value in a settings file.
 * <p>
 * Thread safety: implementations are immutable.
 *
 * @param <T> the type of the parsed value
 */
public interface ValueType<T> {

	/**
	 * Parses a value.
	 * @param text the text without surrounding white space
	 * @return the value, or the reason why the text is invalid
	 */
	Either<ValueProblem, T> parse(String text);

	/**
	 * The reason why a value is invalid.
	 *
	 * @param problem the problem, without a full stop
	 * @param remedy how to correct it, a full sentence
	 */
	record ValueProblem(String problem, String remedy) {
	}

}
