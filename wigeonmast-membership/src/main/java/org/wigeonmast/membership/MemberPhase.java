package org.wigeonmast.membership;

/**
 * Lifecycle phase that a member reports of itself.
 * <p>
 * Thread safety: immutable.
 */
public enum MemberPhase {

	/** The daemon runs but must not serve requests yet. */
	STARTING,

	/** The daemon serves requests and can own services. */
	READY,

	/** The daemon finishes its requests and no longer becomes owner or reader. */
	LEAVING

}
