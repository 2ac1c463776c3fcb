package org.wigeonmast.limit;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of limits, numbers 600 to 699.
 * <p>
 * Thread safety: immutable.
 */
public enum LimitEvent implements EventDefinition {

	/** Requests were refused because a limit was reached. */
	LIMIT_REACHED(600, Level.WARN, "refused {} requests that exceeded {}",
			"Ask the caller to send less, or raise the limit in the manifest."),

	/** The owner of a limit does not answer. */
	SHARE_EXPIRED(601, Level.WARN, "this daemon's share of {} expired because owner {} did not answer",
			"Nothing to do unless this repeats for minutes; until the owner answers, "
					+ "the daemon applies an equal share of the limit.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	LimitEvent(int number, Level level, String text, String advice) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.advice = advice;
	}

	@Override
	public int number() {
		return this.number;
	}

	@Override
	public Level level() {
		return this.level;
	}

	@Override
	public String text() {
		return this.text;
	}

	@Override
	public String advice() {
		return this.advice;
	}

}
