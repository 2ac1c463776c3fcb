package org.wigeonmast.admin;

import java.util.List;

/**
 * The state of a daemon for operators.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemon the daemon's name
 * @param incarnation the number of this start
 * @param failureDomain its region and failure domain
 * @param ready whether it is ready to serve
 * @param reason why it is not ready, or what it serves
 * @param uptimeMilliseconds the time since its start
 * @param requestsInFlight the number of requests in flight
 * @param manifest the manifest in force
 * @param alarms what an operator should look at, full sentences
 * @param members the daemons that it knows, with itself
 * @param services the services
 */
public record DaemonStatus(String daemon, long incarnation, String failureDomain, boolean ready, String reason,
		long uptimeMilliseconds, int requestsInFlight, ManifestStatus manifest, List<String> alarms,
		List<MemberEntry> members, List<ServiceEntry> services) {

	/**
	 * Creates a status.
	 */
	public DaemonStatus {
		alarms = List.copyOf(alarms);
		members = List.copyOf(members);
		services = List.copyOf(services);
	}

	/**
	 * The manifest in force.
	 *
	 * @param version the version, 0 for none
	 * @param hash the SHA-256 of the index
	 * @param ageMilliseconds the time since it was accepted here
	 */
	public record ManifestStatus(long version, String hash, long ageMilliseconds) {
	}

	/**
	 * A daemon of the fleet.
	 *
	 * @param daemon the name
	 * @param incarnation the number of its start
	 * @param address where it accepts links
	 * @param failureDomain its region and failure domain
	 * @param phase the phase that it declares
	 * @param status what the fleet thinks of it
	 */
	public record MemberEntry(String daemon, long incarnation, String address, String failureDomain, String phase,
			String status) {
	}

	/**
	 * A service in the daemon's region.
	 *
	 * @param service the name
	 * @param owner the name of the daemon that owns it in this region, empty for none
	 * @param mode how this daemon dispatches its work
	 * @param servers the number of backend servers
	 * @param serving how many of them are in service
	 * @param floor the number that ejections must leave in service
	 * @param outOfService the identifiers of those that are not in service
	 */
	public record ServiceEntry(String service, String owner, String mode, int servers, int serving, int floor,
			List<String> outOfService) {

		/**
		 * Creates an entry.
		 */
		public ServiceEntry {
			outOfService = List.copyOf(outOfService);
		}

	}

}
