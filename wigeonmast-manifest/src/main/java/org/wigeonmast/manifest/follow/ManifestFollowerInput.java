package org.wigeonmast.manifest.follow;

import java.util.List;

import org.wigeonmast.core.HostAddress;

/**
 * An input of the {@link ManifestFollower}.
 * <p>
 * Thread safety: immutable; byte arrays must not be changed.
 */
public sealed interface ManifestFollowerInput {

	/**
	 * A message arrived from a peer.
	 *
	 * @param from the sender
	 * @param message the message
	 */
	record MessageReceived(HostAddress from, ManifestMessage message) implements ManifestFollowerInput {
	}

	/**
	 * The live members changed.
	 *
	 * @param peers the other live members of all regions, including leaving ones because
	 * they may hold the highest version
	 * @param readerRank this daemon's rank among the store readers of its region: 0 or 1
	 * if it reads the store, otherwise {@link #NOT_A_READER}
	 * @param joined whether membership has joined the fleet or has given up waiting for a
	 * reply; until then the member list may be incomplete
	 */
	record PeersChanged(List<Peer> peers, int readerRank, boolean joined) implements ManifestFollowerInput {

		/** Rank of a daemon that is not a store reader. */
		public static final int NOT_A_READER = -1;

		public PeersChanged {
			peers = List.copyOf(peers);
		}
	}

	/**
	 * The store returned the index.
	 *
	 * @param bytes the bytes of the index
	 */
	record StoreIndexReceived(byte[] bytes) implements ManifestFollowerInput {
	}

	/**
	 * A watch ended without a change of the index.
	 */
	record StoreIndexUnchanged() implements ManifestFollowerInput {
	}

	/**
	 * The store returned a part.
	 *
	 * @param hash the requested hash
	 * @param bytes the bytes of the part
	 */
	record StorePartReceived(String hash, byte[] bytes) implements ManifestFollowerInput {
	}

	/**
	 * Reading or watching the index failed.
	 *
	 * @param reason the reason, for the log
	 */
	record StoreIndexFailed(String reason) implements ManifestFollowerInput {
	}

	/**
	 * Reading a part from the store failed.
	 *
	 * @param hash the requested hash
	 * @param reason the reason, for the log
	 */
	record StorePartFailed(String hash, String reason) implements ManifestFollowerInput {
	}

	/**
	 * The daemon detected that its process had been paused.
	 */
	record Resumed() implements ManifestFollowerInput {
	}

}
