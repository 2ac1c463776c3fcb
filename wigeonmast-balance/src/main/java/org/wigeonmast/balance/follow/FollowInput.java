package org.wigeonmast.balance.follow;

import java.util.List;

/**
 * An input of the {@link StateFollower}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface FollowInput {

	/** The daemon started. */
	record Started() implements FollowInput {
	}

	/**
	 * The whole state was read.
	 *
	 * @param listing the state
	 */
	record Listed(Listing listing) implements FollowInput {
	}

	/**
	 * A watch ended with changes, or without any because its wait was over.
	 *
	 * @param changes the changes, oldest first
	 * @param revision the revision from which the next watch continues
	 */
	record Changed(List<Change> changes, long revision) implements FollowInput {

		public Changed {
			changes = List.copyOf(changes);
		}

	}

	/** The store has dropped the history from which the watch was to continue. */
	record HistoryDropped() implements FollowInput {
	}

	/**
	 * A call to the store failed or timed out.
	 *
	 * @param reason the reason, for the log
	 */
	record Failed(String reason) implements FollowInput {
	}

	/**
	 * A peer reported the revision of the published state that it knows.
	 *
	 * @param revision the revision
	 * @param age the time in milliseconds since the store confirmed it
	 * @param steadyFor the time in milliseconds since the last outage of the store
	 */
	record PeerRevision(long revision, long age, long steadyFor) implements FollowInput {
	}

}
