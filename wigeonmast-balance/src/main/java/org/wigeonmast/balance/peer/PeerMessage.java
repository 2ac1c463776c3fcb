package org.wigeonmast.balance.peer;

import java.util.List;

/**
 * A datagram between daemons.
 * <p>
 * Thread safety: immutable.
 *
 * @param sender the daemon that sent it
 * @param revision the revision of the published state that the sender knows, -1 for none
 * @param revisionAge the time in milliseconds since the store confirmed that revision
 * @param steadyFor the time in milliseconds for which the sender knows that the store has
 * not been away
 * @param members other daemons that the sender heard of
 * @param news what the sender saw of backend servers
 * @param rumours what the sender believes of suspected backend servers
 * @param loads how many requests the sender gets
 */
public record PeerMessage(Peer sender, long revision, long revisionAge, long steadyFor, List<Heard> members,
		List<ServerNews> news, List<Rumour> rumours, List<ServiceLoad> loads) {

	public PeerMessage {
		members = List.copyOf(members);
		news = List.copyOf(news);
		rumours = List.copyOf(rumours);
		loads = List.copyOf(loads);
	}

	/**
	 * Returns this message with what the sender believes and gets.
	 * @param believed what it believes of suspected servers
	 * @param gets how many requests it gets
	 * @return the message
	 */
	public PeerMessage with(List<Rumour> believed, List<ServiceLoad> gets) {
		return new PeerMessage(this.sender, this.revision, this.revisionAge, this.steadyFor, this.members, this.news,
				believed, gets);
	}

	/**
	 * A daemon that was heard of.
	 *
	 * @param peer the daemon
	 * @param age the time in milliseconds since it was heard itself
	 */
	public record Heard(Peer peer, long age) {
	}

}
