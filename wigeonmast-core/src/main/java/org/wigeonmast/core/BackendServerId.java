package org.wigeonmast.core;

/**
 * The identifier of a backend server, unique over all services of a manifest.
 * <p>
 * Thread safety: immutable.
 *
 * @param value the identifier
 */
public record BackendServerId(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
