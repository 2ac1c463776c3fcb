package org.wigeonmast.core;

/**
 * The identifier of a caller to whom limits and fairness apply.
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
