package org.wigeonmast.core;

/**
 * The kind of decision that an audit entry records.
 * <p>
 * Thread safety: immutable.
 */
public enum AuditKind {

	/** A backend server was ejected. */
	EJECTED,

	/** An ejection was requested and no permit was free. */
	EJECTION_DENIED,

	/** An ejected backend server returned. */
	RETURNED,

	/** The floor guard ignored an ejection. */
	FLOOR_GUARD,

	/** One daemon avoids a backend server that other daemons can reach. */
	PATH_AVOIDED,

	/** A backend server started to leave. */
	LEAVING,

	/** A request was refused. */
	REFUSED,

	/** The ownership of a service changed. */
	OWNERSHIP,

	/** A manifest was accepted. */
	MANIFEST_ACCEPTED,

	/** A manifest was rejected. */
	MANIFEST_REJECTED,

	/** The state of a member of the fleet changed. */
	MEMBER,

	/** The daemon changed between starting, ready, draining and stopped. */
	LIFECYCLE

}
