package org.wigeonmast.dispatch;

/**
 * Which connection an attempt may use.
 * <p>
 * Thread safety: immutable.
 */
public enum ConnectionRequirement {

	/** Any idle or new connection. */
	ANY,

	/** A new connection, or an idle one proven alive within the last second. */
	PROVEN

}
