package org.wigeonmast.admin;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the admin interface.
 * <p>
 * Thread safety: immutable.
 */
public enum AdminEvent implements EventDefinition {

	/** The admin interface accepts connections. */
	LISTENING(900, Level.INFO, "admin interface listening on {}", "Nothing to do."),

	/** A request failed with a server error. */
	REQUEST_FAILED(901, Level.WARN, "admin request {} failed: {}",
			"Repeat the request; if it fails again, report this as a defect with the log."),

	/** The control thread did not answer in time. */
	CONTROL_THREAD_SLOW(902, Level.WARN, "admin request {} got no answer from the control thread within {} ms",
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
