package org.wigeonmast.daemon;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of the daemon process.
 * <p>
 * Thread safety: immutable.
 */
public enum DaemonEvent implements EventDefinition {

	/** The daemon started. */
	STARTED(1000, Level.INFO, "daemon {} started: callers {}, links {}, operators {}", "Nothing to do."),

	/** The daemon became ready. */
	READY(1001, Level.INFO, "daemon is ready with manifest version {}", "Nothing to do."),

	/** The daemon is no longer ready. */
	NOT_READY(1002, Level.WARN, "daemon is not ready: {}",
			"Read the reason; check the links to other daemons and the configuration store."),

	/** A planned stop began. */
	STOPPING(1003, Level.INFO, "daemon is stopping: readiness fails, {} requests are in flight", "Nothing to do."),

	/** A planned stop ended. */
	STOPPED(1004, Level.INFO, "daemon stopped; no request is in flight", "Nothing to do."),

	/** A control task failed. */
	CONTROL_TASK_FAILED(1005, Level.ERROR, "a control task failed: {}", "Report this as a defect with the log."),

	/** A control task was submitted after the stop. */
	CONTROL_TASK_REJECTED(1006, Level.DEBUG, "a control task was ignored because the daemon is stopped",
			"Nothing to do."),

	/** The process paused. */
	PAUSED(1007, Level.WARN, "the process was paused for {} ms", "Check the host for memory or processor shortage."),

	/** A message from a peer could not be decoded. */
	MESSAGE_REJECTED(1008, Level.WARN, "message of slice {} from {} was rejected: {}",
			"Check that the peer runs a supported release."),

	/** The daemon could not start. */
	START_FAILED(1009, Level.FATAL, "daemon could not start: {}",
			"Correct the cause given in the message and start the daemon again."),

	/** A peer's address is not known. */
	PEER_UNKNOWN(1010, Level.DEBUG, "message for {} was dropped because its address is not known", "Nothing to do."),

	/** The settings were read again. */
	RELOADED(1011, Level.INFO, "settings read again: seeds {}", "Nothing to do."),

	/** The settings could not be read again. */
	RELOAD_FAILED(1012, Level.ERROR, "settings could not be read again: {}; the previous settings stay in force",
			"Correct the settings file."),

	/** A planned stop reached its limit. */
	STOP_TIMED_OUT(1013, Level.WARN, "daemon stopped at its stop timeout; {} requests were cut off",
			"Give the daemon a stop timeout above the longest timeout of a route.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	DaemonEvent(int number, Level level, String text, String advice) {
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
