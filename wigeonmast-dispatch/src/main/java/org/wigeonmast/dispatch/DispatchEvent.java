package org.wigeonmast.dispatch;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of dispatch, numbers 500 to 599.
 * <p>
 * Thread safety: immutable.
 */
public enum DispatchEvent implements EventDefinition {

	/** Requests were refused. */
	REQUESTS_REFUSED(500, Level.WARN, "refused {} requests for {}: {}",
			"Check the load and the health of the service's backend servers; refused requests were not run."),

	/** An owner did not reply in time. */
	OWNER_SILENT(501, Level.WARN, "owner {} of {} did not reply within {} ms",
			"Nothing to do unless it repeats for minutes; then check the link between the two daemons."),

	/** The dispatch mode changed. */
	MODE_CHANGED(502, Level.INFO, "dispatch mode of service {} changed to {} at utilization {}",
			"Nothing to do; short work waits for grants while the service is busy."),

	/** The proxy did not report the end of an attempt in time. */
	REPORT_MISSING(503, Level.ERROR,
			"attempt {} of request {} at {}: the proxy had not reported its end {} ms after its deadline",
			"Report a fault of the proxy; the request was answered as unknown."),

	/** A register of idempotency keys exceeded its size and dropped the oldest keys. */
	REGISTER_INCOMPLETE(504, Level.WARN,
			"the register of idempotency keys of service {} exceeded {} keys and dropped the oldest",
			"Nothing to do; repeats with older keys are refused as unknown until the key lifetime has passed.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	DispatchEvent(int number, Level level, String text, String advice) {
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
