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
 * @param members other daemons that the sender heard of
 * @param news what the sender saw of backend servers
 */
public record PeerMessage(Peer sender, long revision, long revisionAge, List<Heard> members, List<ServerNews> news) {

	public PeerMessage {
		members = List.copyOf(members);
		news = List.copyOf(news);
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
