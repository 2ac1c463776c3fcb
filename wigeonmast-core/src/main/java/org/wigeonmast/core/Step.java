package org.wigeonmast.core;

/**
 * The step of a request, of a manifest change or of another operation at which an event
 * occurred.
 * <p>
 * Thread safety: immutable.
 */
public enum Step {

	/** Reading a caller's request head. */
	ACCEPT,

	/** Finding the service for a request. */
	ROUTE,

	/** Checking limits of the caller and the service. */
	LIMIT,

	/** Registering the idempotency key. */
	REGISTER,

	/** Asking the owner for a slot. */
	ACQUIRE_SLOT,

	/** Waiting in the owner's queue. */
	QUEUE,

	/** Connecting to a backend server. */
	CONNECT,

	/** Sending the request to a backend server. */
	SEND,

	/** Waiting for the response head. */
	AWAIT_RESPONSE,

	/** Streaming the response body. */
	STREAM_RESPONSE,

	/** Completing a request. */
	COMPLETE,

	/** Reading settings or a manifest. */
	READ,

	/** Validating settings or a manifest. */
	CHECK,

	/** Distributing a manifest among the daemons. */
	SPREAD,

	/** Applying a manifest. */
	APPLY,

	/** Exchanging membership state. */
	MEMBERSHIP,

	/** Evaluating the health of a backend server. */
	HEALTH,

	/** Exchanging messages between daemons. */
	LINK,

	/** Serving requests of operators. */
	ADMIN,

	/** Starting a process. */
	START,

	/** Stopping a process. */
	STOP

}
