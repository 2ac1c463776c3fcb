package org.wigeonmast.core;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ParameterizedMessage;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes numbered events as structured log records.
 * <p>
 * Thread safety: immutable; usable from any thread.
 */
public final class EventLog {

	private static final String EVENT = "event";

	private static final String NAME = "name";

	private static final String MESSAGE = "message";

	private final Logger logger;

	/**
	 * Creates a log.
	 * @param owner the class that logs
	 */
	public EventLog(Class<?> owner) {
		this.logger = LogManager.getLogger(owner);
	}

	/**
	 * Logs an event.
	 * @param event the event
	 * @param parameters the values for the event's text, in order
	 */
	public void log(EventDefinition event, Object... parameters) {
		if (!this.logger.isEnabled(event.level())) {
			return;
		}
		String message = ParameterizedMessage.format(event.text(), parameters);
		this.logger.log(event.level(),
				new StringMapMessage().with(EVENT, event.number()).with(NAME, event.toString()).with(MESSAGE, message));
	}

}
