package org.wigeonmast.balance.follow;

import java.util.List;

/**
 * An input of the {@link StateFollower}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface FollowInput {

	/** The daemon starts to follow. */
	record Started() implements FollowInput {
	}

	/**
	 * The state was read as a whole.
	 *
	 * @param listing the state
	 */
	record Listed(Listing listing) implements FollowInput {
	}

	/**
	 * A watch ended with changes, or without any after its wait.
	 *
	 * @param changes the changes in order
	 * @param revision the revision from which to go on
	 */
	record Changed(List<Change> changes, long revision) implements FollowInput {

		public Changed {
			changes = List.copyOf(changes);
		}

	}

	/** The history from which the watch was to go on was dropped. */
	record HistoryDropped() implements FollowInput {
	}

	/**
	 * A call failed or was not answered in time.
	 *
	 * @param reason what happened
	 */
	record Failed(String reason) implements FollowInput {
	}

	/**
	 * A peer knows how far the published state had gone at some time.
	 *
	 * @param revision the revision
	 * @param age the time in milliseconds since the store confirmed it
	 * @param steadyFor the time in milliseconds for which the store has not been away
	 */
	record PeerRevision(long revision, long age, long steadyFor) implements FollowInput {
	}

}
