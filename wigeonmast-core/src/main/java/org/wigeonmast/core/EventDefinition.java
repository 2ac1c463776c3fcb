package org.wigeonmast.core;

import org.apache.logging.log4j.Level;

/**
 * A numbered log event; each slice implements this with an enum.
 * <p>
 * Thread safety: immutable. Invariant: a number is never given to another event later.
 */
public interface EventDefinition {

	/**
	 * Returns the event's number, unique over all slices.
	 * @return the number
	 */
	int number();

	/**
	 * Returns the level at which the event is logged.
	 * @return the level
	 */
	Level level();

	/**
	 * Returns the message text with {@code {}} for each parameter.
	 * @return the text
	 */
	String text();

	/**
	 * Returns what an operator should do.
	 * @return the advice, a full sentence
	 */
	String advice();

}
