package org.wigeonmast.core;

import org.apache.logging.log4j.Level;

/**
 * Definition of a numbered log event; each module implements this with an enum.
 * <p>
 * Thread safety: immutable. Invariant: a number is never reused for another event.
 */
public interface EventDefinition {

	/**
	 * Returns the event's number, unique over all modules.
	 * @return the number
	 */
	int number();

	/**
	 * Returns the level at which the event is logged.
	 * @return the level
	 */
	Level level();

	/**
	 * Returns the message text with a placeholder {@code {}} for each parameter.
	 * @return the text
	 */
	String text();

	/**
	 * Returns the advice for the operator.
	 * @return the advice, a full sentence
	 */
	String advice();

}
