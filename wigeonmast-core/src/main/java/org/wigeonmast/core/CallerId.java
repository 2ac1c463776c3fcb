package org.wigeonmast.core;

/**
 * Identifier of a caller, the unit to which limits and fair queueing apply.
 * <p>
 * Thread safety: immutable.
 *
 * @param value the identifier
 */
public record CallerId(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
