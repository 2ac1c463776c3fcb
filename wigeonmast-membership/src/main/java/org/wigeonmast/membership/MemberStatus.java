package org.wigeonmast.membership;

/**
 * What the fleet thinks of a member; at the same revision a later constant replaces an
 * earlier one.
 * <p>
 * Thread safety: immutable.
 */
public enum MemberStatus {

	/** It answers, as far as is known. */
	LIVE,

	/** A member could not reach it; it counts as live until it is declared dead. */
	SUSPECTED,

	/** It was declared dead, or it said that it stops. */
	DEAD

}
