package org.wigeonmast.manifest.follow;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * The log events of following manifest versions.
 * <p>
 * Thread safety: immutable.
 */
public enum FollowEvent implements EventDefinition {

	/** A version was accepted. */
	ACCEPTED(250, Level.INFO, "manifest {} accepted from {}", "Nothing needs to be done."),

	/** A version is invalid. */
	REJECTED(251, Level.ERROR, "manifest {} rejected: {}",
			"Correct the manifest and publish it with a higher version; the previous one stays in force."),

	/** One version has two hashes. */
	CONFLICT(252, Level.ERROR, "manifest {} in force, and {} has the same version",
			"Publish the wanted content with a higher version; the first accepted one stays in force."),

	/** The store is behind. */
	STORE_BEHIND(253, Level.WARN, "the store has manifest {}, and {} is in force",
			"Check why the store lags; the higher version stays in force."),

	/** The store does not answer. */
	STORE_FAILED(254, Level.WARN, "the store cannot be read: {}",
			"Check the store; the last accepted manifest stays in force meanwhile."),

	/** The store answers again. */
	STORE_RETURNED(255, Level.INFO, "the store can be read again", "Nothing needs to be done."),

	/** The daemon may serve. */
	READY(256, Level.INFO, "ready with manifest {} after {} of {} members answered", "Nothing needs to be done."),

	/** The daemon must not serve. */
	NOT_READY(257, Level.WARN, "not ready: {}",
			"Nothing needs to be done unless it lasts; then check the links to the members of the region."),

	/** Content of a peer does not have its hash. */
	CONTENT_INVALID(258, Level.WARN, "content {} from {} is invalid: {}",
			"Check the peer if this repeats; another one is asked."),

	/** The daemon is cut off. */
	CUT_OFF(259, Level.ERROR, "no member and no store reachable; manifest {} stays in force",
			"Check the network of the host; the daemon goes on serving."),

	/** The daemon is connected again. */
	CONNECTED(260, Level.INFO, "members or the store are reachable again", "Nothing needs to be done.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	FollowEvent(int number, Level level, String text, String advice) {
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
