package org.wigeonmast.health;

/**
 * The availability of a backend server, independent of the results of its requests.
 * <p>
 * Thread safety: immutable.
 */
public enum Availability {

	/** Accepts work. */
	AVAILABLE,

	/** Started recently; its work may be slow. */
	COLD,

	/** Leaving; receives no new work. */
	LEAVING,

	/** Not running. */
	DEAD

}
