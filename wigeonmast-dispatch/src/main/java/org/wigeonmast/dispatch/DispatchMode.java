package org.wigeonmast.dispatch;

/**
 * The way in which short work of a service is dispatched.
 * <p>
 * Thread safety: immutable.
 */
public enum DispatchMode {

	/** The entry daemon selects a server itself. */
	DIRECT,

	/** The entry daemon requests a slot from the owner. */
	GRANTED

}
