package org.wigeonmast.dispatch;

/**
 * How short work of a service is dispatched.
 * <p>
 * Thread safety: immutable.
 */
public enum DispatchMode {

	/** The entry daemon chooses a server itself. */
	DIRECT,

	/** The entry daemon asks the owner for a slot. */
	GRANTED

}
