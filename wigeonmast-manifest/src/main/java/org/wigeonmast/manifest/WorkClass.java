package org.wigeonmast.manifest;

/**
 * The class of a request by its expected duration.
 * <p>
 * Thread safety: immutable.
 */
public enum WorkClass {

	/** Views and lookups, for which a user waits. */
	SHORT,

	/**
	 * Printing and image processing, which take many times longer than short requests.
	 */
	LONG

}
