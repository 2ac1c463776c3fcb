package org.wigeonmast.health;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * The log events of this module. The parameters of each text are the subject and the
 * evidence.
 * <p>
 * Thread safety: immutable.
 */
public enum HealthEvent implements EventDefinition {

	/** A backend server was ejected. */
	SERVER_EJECTED(400, Level.WARN, "{} was ejected: {}",
			"Look at the host; run `wigeonmast explain HOST` for the evidence."),

	/** No permit was obtained for an ejection. */
	EJECTION_DENIED(401, Level.WARN, "{} was not ejected: {}",
			"Look at the host; if the floor is the reason, look at all backend servers of the service."),

	/** A backend server is on trial after an ejection. */
	SERVER_ON_TRIAL(402, Level.INFO, "{} gets a few idempotent requests: {}", "Nothing."),

	/** A backend server returned to service. */
	SERVER_RETURNED(403, Level.INFO, "{} returned to service: {}", "Nothing."),

	/** An ejection ended because its permit was lost. */
	PERMIT_LOST(404, Level.WARN, "The permit to eject {} was lost: {}",
			"Nothing to do; it is requested again. If it repeats, look at the links between daemons."),

	/** This daemon ignores an ejection because the floor would not hold otherwise. */
	FLOOR_GUARD(405, Level.WARN, "The ejection of {} is ignored: {}",
			"Look at the backend servers of the service; too few of them are in service."),

	/** A backend server is leaving. */
	SERVER_LEAVING(406, Level.INFO, "{} is leaving: {}", "Nothing."),

	/** This daemon avoids a backend server that it cannot reach but other daemons can. */
	PATH_AVOIDED(407, Level.WARN, "{} is avoided by this daemon only: {}",
			"Look at the network between this host and the backend server.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	HealthEvent(int number, Level level, String text, String advice) {
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
