package org.wigeonmast.admin;

import java.util.List;

/**
 * The status of a daemon as served by {@code /status}.
 * <p>
 * Thread safety: immutable.
 *
 * @param daemon the daemon's name
 * @param incarnation the incarnation number of the running process
 * @param failureDomain its region and failure domain
 * @param ready whether it is ready to serve
 * @param reason why it is not ready, or the manifest that it serves
 * @param uptimeMilliseconds the time since the process started
 * @param requestsInFlight the number of requests in flight
 * @param manifest the manifest in force
 * @param alarms conditions that need an operator's attention, as full sentences
 * @param members the known daemons of the fleet, including this one
 * @param services the services in the daemon's region
 */
public record DaemonStatus(String daemon, long incarnation, String failureDomain, boolean ready, String reason,
		long uptimeMilliseconds, int requestsInFlight, ManifestStatus manifest, List<String> alarms,
		List<MemberEntry> members, List<ServiceEntry> services) {

	/**
	 * Creates a status with immutable copies of the lists.
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
	 * @param ageMilliseconds the time since this daemon accepted it
	 */
	public record ManifestStatus(long version, String hash, long ageMilliseconds) {
	}

	/**
	 * A daemon of the fleet.
	 *
	 * @param daemon the name
	 * @param incarnation its incarnation number
	 * @param address where it accepts links
	 * @param failureDomain its region and failure domain
	 * @param phase its lifecycle phase as it announces it
	 * @param status its membership status: live, suspected or dead
	 */
	public record MemberEntry(String daemon, long incarnation, String address, String failureDomain, String phase,
			String status) {
	}

	/**
	 * A service in the daemon's region.
	 *
	 * @param service the name
	 * @param owner the name of the daemon that owns it in this region, empty if none does
	 * @param mode the mode in which this daemon dispatches the service's requests
	 * @param servers the number of backend servers
	 * @param serving the number of backend servers in service
	 * @param floor the minimum number of backend servers that ejections must leave in
	 * service
	 * @param outOfService the identifiers of the backend servers that are not in service
	 */
	public record ServiceEntry(String service, String owner, String mode, int servers, int serving, int floor,
			List<String> outOfService) {

		/**
		 * Creates an entry with an immutable copy of the list.
		 */
		public ServiceEntry {
			outOfService = List.copyOf(outOfService);
		}

	}

}
