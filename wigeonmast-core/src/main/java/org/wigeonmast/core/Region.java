package org.wigeonmast.core;

/**
 * A region of the platform.
 * <p>
 * Thread safety: immutable.
 *
 * @param name the region's name
 */
public record Region(String name) {

	@Override
	public String toString() {
		return this.name;
	}

}
