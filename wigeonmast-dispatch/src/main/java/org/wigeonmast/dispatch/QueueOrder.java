package org.wigeonmast.dispatch;

/**
 * The order in which the waiting requests of one caller are served.
 * <p>
 * Thread safety: immutable.
 */
public enum QueueOrder {

	/** The oldest request first. */
	FIRST_IN_FIRST_OUT,

	/**
	 * The oldest request first, but the newest first while the queue has not been empty
	 * for some time.
	 */
	NEWEST_FIRST_WHEN_OVERLOADED,

	/** The request with the earliest deadline first. */
	EARLIEST_DEADLINE

}
