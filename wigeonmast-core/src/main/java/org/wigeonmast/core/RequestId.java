package org.wigeonmast.core;

/**
 * Identifier that a daemon assigns to a caller's request.
 * <p>
 * Thread safety: immutable.
 *
 * @param value the identifier
 */
public record RequestId(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
