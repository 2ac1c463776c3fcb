package org.wigeonmast.dispatch;

/**
 * The reason why a request was refused without being run. Its text is part of the
 * response to the caller.
 * <p>
 * Thread safety: immutable.
 */
public enum RefusalReason {

	/** The deadline passed before the request was sent. */
	DEADLINE_EXPIRED("the deadline passed before the request was sent"),

	/** The request would wait longer than its deadline allows. */
	OVERLOADED("the service is overloaded and cannot answer before the deadline"),

	/** No backend server is in service for the request. */
	NO_SERVER("no backend server is in service"),

	/** The manifest has no such service. */
	UNKNOWN_SERVICE("the service is unknown"),

	/** Every attempt ended before a byte was sent, or was refused by the server. */
	ATTEMPTS_FAILED("no backend server accepted the request"),

	/** The caller left before the request was sent. */
	CALLER_LEFT("the caller closed its connection before the request was sent"),

	/** No owner could register the idempotency key. */
	KEY_NOT_REGISTERED("the idempotency key could not be registered");

	private final String text;

	RefusalReason(String text) {
		this.text = text;
	}

	/**
	 * Returns the text for the caller.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

}
