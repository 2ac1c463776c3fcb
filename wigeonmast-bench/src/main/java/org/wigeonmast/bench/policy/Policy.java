package org.wigeonmast.bench.policy;

/**
 * A way to choose a backend server.
 * <p>
 * Thread safety: immutable.
 */
enum Policy {

	/** Each daemon chooses at random. */
	RANDOM,

	/** Each daemon goes round the servers and ejects outliers by its own view. */
	ROUND_ROBIN,

	/** Each daemon takes the less loaded of two random servers by its own view. */
	TWO_CHOICES,

	/** Every request waits for a grant of the owner. */
	GRANTS,

	/** Direct dispatch at low load and grants at high load. */
	HYBRID

}
