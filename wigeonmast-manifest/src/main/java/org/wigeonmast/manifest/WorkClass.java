package org.wigeonmast.manifest;

/**
 * The class of a request by its expected duration.
 * <p>
 * Thread safety: immutable.
 */
public enum WorkClass {

	/** Views and lookups, which callers wait for. */
	SHORT,

	/** Printing and image work, which runs many times longer than short work. */
	LONG

}
