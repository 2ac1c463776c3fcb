package org.wigeonmast.membership;

import org.apache.logging.log4j.Level;
import org.wigeonmast.core.EventDefinition;

/**
 * Log events of membership, numbers 300 to 399.
 * <p>
 * Thread safety: immutable.
 */
public enum MembershipEvent implements EventDefinition {

	/** The daemon joined the fleet. */
	JOINED(300, Level.INFO, "joined the fleet through {} with {} members", "Nothing to do."),

	/** No seed answered before joining timed out. */
	ALONE(301, Level.WARN, "no seed answered within {} ms",
			"Check the seeds in the settings and the platform's host list unless this is the first daemon."),

	/** A member was discovered, restarted or became reachable again. */
	LIVE(302, Level.INFO, "member {} is live", "Nothing to do."),

	/** A member is leaving. */
	LEAVING(303, Level.INFO, "member {} is leaving", "Nothing to do."),

	/** A member was declared dead, has stopped or cannot be reached from this daemon. */
	DEAD(304, Level.WARN, "member {} is dead", "Check the host unless it was stopped or replaced."),

	/** Other members suspected this daemon or declared it dead. */
	REFUTED(305, Level.WARN, "other members reported this daemon as {}; it announced that it is live, with revision {}",
			"Check the links and the load of this host if this repeats."),

	/** This daemon was paused. */
	PAUSED(306, Level.WARN, "this daemon was paused for at least {} ms",
			"Check the load and the memory of the host if this repeats."),

	/** No member answers this daemon. */
	ISOLATED(307, Level.ERROR, "no member has answered for {} ms",
			"Check the network of this host; until a member answers, this daemon reports no member as failed."),

	/** Members answer this daemon again. */
	CONNECTED(308, Level.INFO, "members answer again", "Nothing to do."),

	/** Two daemons use the same name. */
	DUPLICATE_NAME(309, Level.ERROR, "the name {} is used at {} and at {}",
			"Give each daemon its own name in its settings."),

	/** The member table is full. */
	TABLE_FULL(310, Level.ERROR, "member {} ignored: the member table is full with {} members",
			"Check for daemons that restart under changing names.");

	private final int number;

	private final Level level;

	private final String text;

	private final String advice;

	MembershipEvent(int number, Level level, String text, String advice) {
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
