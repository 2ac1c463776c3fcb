package org.wigeonmast.core;

/**
 * The name of a service in the manifest.
 * <p>
 * Thread safety: immutable.
 *
 * @param value the name
 */
public record ServiceName(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
