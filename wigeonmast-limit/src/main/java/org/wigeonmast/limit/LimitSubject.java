package org.wigeonmast.limit;

/**
 * Caller or service that a limit applies to.
 * <p>
 * Thread safety: immutable.
 *
 * @param kind whether it is a caller or a service
 * @param name the caller's or the service's name
 */
public record LimitSubject(Kind kind, String name) {

	@Override
	public String toString() {
		return "limit/" + this.kind + "/" + this.name;
	}

	/** Kind of subject. */
	public enum Kind {

		/** A caller. */
		CALLER,

		/** A service. */
		SERVICE

	}

}
