package org.wigeonmast.limit;

/**
 * A message between daemons about shares of limits.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitMessage {

	/**
	 * Asks the owner of a subject for a share of its limit.
	 *
	 * @param subject the subject
	 * @param demand the sender's recent demand in requests per second
	 * @param limit the limit in requests per second in the sender's manifest
	 */
	record ShareRequest(LimitSubject subject, double demand, long limit) implements LimitMessage {
	}

	/**
	 * Leases a share.
	 *
	 * @param subject the subject
	 * @param rate the requests per second that the receiver may admit
	 * @param lease the time in milliseconds for which it may do so
	 */
	record ShareGrant(LimitSubject subject, double rate, long lease) implements LimitMessage {
	}

}
