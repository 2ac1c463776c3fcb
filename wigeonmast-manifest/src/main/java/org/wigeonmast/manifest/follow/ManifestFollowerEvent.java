package org.wigeonmast.manifest.follow;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * The log events of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable.
 */
public enum ManifestFollowerEvent implements EventDefinition {

	/** A version was accepted. */
	ACCEPTED(250, Level.INFO, "manifest {} accepted from {}", "Nothing to do."),

	/** A version failed validation. */
	REJECTED(251, Level.ERROR, "manifest {} rejected: {}",
			"Correct the manifest and publish it with a higher version; the previous one stays in force."),

	/** Two manifests with different hashes have the same version. */
	CONFLICT(252, Level.ERROR, "manifest {} is in force, but {} has the same version",
			"Publish the intended content with a higher version; the first accepted one stays in force."),

	/** The store returned a version lower than the one in force. */
	STORE_BEHIND(253, Level.WARN, "the store has manifest {}, but {} is in force",
			"Check why the store lags; the higher version stays in force."),

	/** A call to the store failed. */
	STORE_FAILED(254, Level.WARN, "the store cannot be read: {}",
			"Check the store; the last accepted manifest stays in force meanwhile."),

	/** The store responds again after a failure. */
	STORE_RETURNED(255, Level.INFO, "the store can be read again", "Nothing to do."),

	/** The daemon became ready to serve requests. */
	READY(256, Level.INFO, "ready with manifest {} after {} of {} members answered", "Nothing to do."),

	/** The daemon is no longer ready to serve requests. */
	NOT_READY(257, Level.WARN, "not ready: {}",
			"Nothing to do unless it lasts; then check the links to the members of the region."),

	/** Content received from a peer has a wrong size or hash. */
	CONTENT_INVALID(258, Level.WARN, "content {} from {} is invalid: {}",
			"Check the peer if this repeats; the content is requested from another source."),

	/** Neither a member nor the store is reachable. */
	CUT_OFF(259, Level.ERROR, "no member and no store reachable; manifest {} stays in force",
			"Check the network of the host; the daemon continues to serve."),

	/** A member or the store is reachable again. */
	CONNECTED(260, Level.INFO, "members or the store are reachable again", "Nothing to do.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	ManifestFollowerEvent(int number, Level level, String text, String advice) {
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
