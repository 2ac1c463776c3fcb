package org.wigeonmast.balance.peer;

import java.util.List;

/**
 * A datagram between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param sender the daemon that sent it
 * @param revision the last revision of the published state that the sender knows, -1 for
 * none
 * @param revisionAge the time in milliseconds since the store confirmed that revision
 * @param steadyFor the time in milliseconds since the last outage of the store that the
 * sender knows of
 * @param members some of the other live daemons that the sender knows
 * @param observations observations of backend servers by the sender
 * @param suspicionReports the backend servers that the sender suspects
 * @param loads the load of the sender by service
 */
public record PeerMessage(Peer sender, long revision, long revisionAge, long steadyFor, List<Member> members,
		List<ServerObservation> observations, List<SuspicionReport> suspicionReports, List<ServiceLoad> loads) {

	public PeerMessage {
		members = List.copyOf(members);
		observations = List.copyOf(observations);
		suspicionReports = List.copyOf(suspicionReports);
		loads = List.copyOf(loads);
	}

	/**
	 * Returns a copy of this message with the suspicions and the load of the sender.
	 * @param reports the backend servers that it suspects
	 * @param serviceLoads its load by service
	 * @return the copy
	 */
	public PeerMessage withReports(List<SuspicionReport> reports, List<ServiceLoad> serviceLoads) {
		return new PeerMessage(this.sender, this.revision, this.revisionAge, this.steadyFor, this.members,
				this.observations, reports, serviceLoads);
	}

	/**
	 * A live daemon that the sender knows.
	 *
	 * @param peer the daemon
	 * @param age the time in milliseconds since it was last seen
	 */
	public record Member(Peer peer, long age) {
	}

}
