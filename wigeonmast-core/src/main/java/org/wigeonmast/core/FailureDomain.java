package org.wigeonmast.core;

/**
 * Failure domain: a group of hosts of one region that can fail together.
 * <p>
 * Thread safety: immutable.
 *
 * @param region the region
 * @param name the name within the region
 */
public record FailureDomain(Region region, String name) {

	@Override
	public String toString() {
		return this.region + "/" + this.name;
	}

}
