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
	 * @param text the text without surrounding spaces
	 * @return the value, or what is wrong with the text
	 */
	Either<ValueProblem, T> parse(String text);

	/**
	 * What is wrong with a value.
	 *
	 * @param problem the problem, without a full stop
	 * @param remedy what to do, a full sentence
	 */
	record ValueProblem(String problem, String remedy) {
	}

}
