package org.wigeonmast.membership;

/**
 * The phase of its life that a member declares itself.
 * <p>
 * Thread safety: immutable.
 */
public enum MemberPhase {

	/** It runs and must not serve yet. */
	STARTING,

	/** It serves and can own services. */
	READY,

	/** It finishes its requests and takes no new duties. */
	LEAVING

}
