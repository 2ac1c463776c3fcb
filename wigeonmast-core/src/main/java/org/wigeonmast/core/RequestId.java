package org.wigeonmast.core;

/**
 * The identifier that one daemon gives one request of a caller.
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
