package org.wigeonmast.limit;

/**
 * Message between daemons about shares of limits.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface LimitMessage {

	/**
	 * Requests a share of a limit from the owner of its subject.
	 *
	 * @param subject the subject
	 * @param demand the sender's recent demand in requests per second
	 * @param limit the limit in requests per second in the sender's manifest
	 */
	record ShareRequest(LimitSubject subject, double demand, long limit) implements LimitMessage {
	}

	/**
	 * Grants a share of a limit for a limited time.
	 *
	 * @param subject the subject
	 * @param rate the requests per second that the receiver may admit
	 * @param lease the validity of the share in milliseconds
	 */
	record ShareGrant(LimitSubject subject, double rate, long lease) implements LimitMessage {
	}

}
