package org.wigeonmast.membership;

/**
 * Liveness status of a member. Of two records with the same revision, the one whose
 * status is declared later here replaces the other.
 * <p>
 * Thread safety: immutable.
 */
public enum MemberStatus {

	/** No failed probe of the member is known. */
	LIVE,

	/** Another member could not reach it; it counts as live until it is declared dead. */
	SUSPECTED,

	/** The member was declared dead, or it announced its shutdown. */
	DEAD

}
