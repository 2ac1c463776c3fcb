package org.wigeonmast.core;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ParameterizedMessage;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Logger that writes numbered events as structured log records.
 * <p>
 * Thread safety: immutable; usable from any thread.
 */
public final class EventLog {

	private static final String EVENT_FIELD = "event";

	private static final String NAME_FIELD = "name";

	private static final String MESSAGE_FIELD = "message";

	private static final String REQUEST_FIELD = "request";

	private final Logger logger;

	/**
	 * Creates a log.
	 * @param owner the class whose name is written as the logger
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
		if (this.logger.isEnabled(event.level())) {
			this.logger.log(event.level(), message(event, parameters));
		}
	}

	/**
	 * Logs an event that concerns a request.
	 * @param event the event
	 * @param request the identifier of the request that its caller knows
	 * @param parameters the values for the event's text, in order
	 */
	public void logRequest(EventDefinition event, String request, Object... parameters) {
		if (this.logger.isEnabled(event.level())) {
			this.logger.log(event.level(), message(event, parameters).with(REQUEST_FIELD, request));
		}
	}

	private static StringMapMessage message(EventDefinition event, Object... parameters) {
		String message = ParameterizedMessage.format(event.text(), parameters);
		return new StringMapMessage().with(EVENT_FIELD, event.number())
			.with(NAME_FIELD, event.toString())
			.with(MESSAGE_FIELD, message);
	}

}
