package org.wigeonmast.bench.fleet;

import java.util.ArrayList;
import java.util.List;

import org.wigeonmast.core.FailureDomain;
import org.wigeonmast.core.HostAddress;
import org.wigeonmast.core.Region;

/**
 * Regions, failure domains and delays of a simulated fleet.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemons the number of daemons
 * @param domains the failure domains, over which daemons are spread evenly; the store is
 * in the region of the first one
 */
record FleetShape(int daemons, List<FailureDomain> domains) {

	/** Delay within a failure domain in microseconds. */
	private static final long DOMAIN_DELAY = 200;

	/** Delay between failure domains of a region in microseconds. */
	private static final long REGION_DELAY = 1000;

	/** Delay between regions in microseconds. */
	private static final long REMOTE_DELAY = 20_000;

	private static final int LARGE = 1000;

	private static final int MEDIUM = 300;

	private static final int CONTROL_PORT = 7400;

	private static final int BYTE_VALUES = 256;

	/**
	 * Returns the shape for a number of daemons: the regions of today, or those of the
	 * design size for a large fleet.
	 * @param daemons the number of daemons
	 * @return the shape
	 */
	static FleetShape of(int daemons) {
		if (daemons >= LARGE) {
			return new FleetShape(daemons, domains(6, 15));
		}
		return new FleetShape(daemons, (daemons >= MEDIUM) ? domains(4, 10) : domains(2, 4));
	}

	private static List<FailureDomain> domains(int regions, int count) {
		List<FailureDomain> domains = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			domains.add(new FailureDomain(new Region("region-" + i % regions), "domain-" + i / regions));
		}
		return domains;
	}

	FailureDomain domain(int daemon) {
		return this.domains.get(daemon % this.domains.size());
	}

	Region storeRegion() {
		return this.domains.getFirst().region();
	}

	List<Region> regions() {
		return this.domains.stream().map(FailureDomain::region).distinct().toList();
	}

	Region lastRegion() {
		return this.domains.get(this.domains.size() - 1).region();
	}

	HostAddress address(int daemon) {
		int domain = daemon % this.domains.size();
		int host = daemon / this.domains.size();
		return new HostAddress("10." + domain + "." + host / BYTE_VALUES + "." + host % BYTE_VALUES, CONTROL_PORT);
	}

	long delay(FailureDomain from, FailureDomain to) {
		if (!from.region().equals(to.region())) {
			return REMOTE_DELAY;
		}
		return (from.equals(to)) ? DOMAIN_DELAY : REGION_DELAY;
	}

}
