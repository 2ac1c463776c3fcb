package org.wigeonmast.dispatch;

/**
 * The connections that an attempt may use.
 * <p>
 * Thread safety: immutable.
 */
public enum ConnectionRequirement {

	/** Any idle or new connection. */
	ANY,

	/**
	 * A new connection, or an idle one that was verified to be alive within the last
	 * second.
	 */
	PROVEN

}
