package org.wigeonmast.admin;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the operators' interface.
 * <p>
 * Thread safety: immutable.
 */
public enum AdminEvent implements EventDefinition {

	/** The interface listens. */
	LISTENING(900, Level.INFO, "the operators' interface listens on {}", "Nothing to do."),

	/** A request failed. */
	REQUEST_FAILED(901, Level.WARN, "operators' request {} failed: {}",
			"Repeat the request; if it fails again, report this as a defect with the log."),

	/** The control thread did not answer in time. */
	CONTROL_THREAD_SLOW(902, Level.WARN, "operators' request {} got no answer from the control thread within {} ms",
			"Check the host for memory or processor shortage.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	AdminEvent(int number, Level level, String text, String advice) {
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
