package org.wigeonmast.balance.peer;

import java.util.List;

/**
 * A datagram between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param kind the kind of message
 * @param sender the daemon that sent it
 * @param membersDigest the digest of the live daemons that the sender knows, in
 * heartbeats
 * @param revision the last revision of the published state that the sender knows, -1 for
 * none
 * @param revisionAge the time in milliseconds since the store confirmed that revision
 * @param steadyFor the time in milliseconds since the last outage of the store that the
 * sender knows of
 * @param members some of the other daemons that the sender knows
 * @param observations observations of backend servers by the sender
 * @param suspicionReports the backend servers that the sender suspects
 * @param loads the load of the sender by service
 */
public record PeerMessage(Kind kind, Member sender, int membersDigest, long revision, long revisionAge, long steadyFor,
		List<Member> members, List<ServerObservation> observations, List<SuspicionReport> suspicionReports,
		List<ServiceLoad> loads) {

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
		return new PeerMessage(this.kind, this.sender, this.membersDigest, this.revision, this.revisionAge,
				this.steadyFor, this.members, this.observations, reports, serviceLoads);
	}

	/** The kind of a message; the order is part of the wire protocol. */
	public enum Kind {

		/** Periodic message with the load and the suspicions of the sender. */
		HEARTBEAT,

		/** Question whether the receiver is alive. */
		PROBE,

		/** Answer to a heartbeat or probe. */
		ACKNOWLEDGEMENT,

		/** Request for a list of the members, from a daemon that knows none. */
		JOIN,

		/** News of members, observations of backend servers, or the sender's leaving. */
		NEWS

	}

}
