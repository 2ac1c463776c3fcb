package org.wigeonmast.health;

/**
 * What is known about a backend server apart from its work.
 * <p>
 * Thread safety: immutable.
 */
public enum Availability {

	/** Takes work. */
	AVAILABLE,

	/** Started a short time ago; its work may be slow. */
	COLD,

	/** Leaves and gets no new work. */
	LEAVING,

	/** Not running. */
	DEAD

}
