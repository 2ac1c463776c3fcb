package org.wigeonmast.balance.follow;

import java.util.List;

/**
 * An input of the {@link StateFollower}.
 * <p>
 * Thread safety: immutable.
 */
public sealed interface StateFollowerInput {

	/** The daemon started. */
	record Started() implements StateFollowerInput {
	}

	/**
	 * The whole state was read.
	 *
	 * @param snapshot the state
	 */
	record StateRead(StateSnapshot snapshot) implements StateFollowerInput {
	}

	/**
	 * A watch ended with changes, or without any because its wait was over.
	 *
	 * @param changes the changes, oldest first
	 * @param revision the revision from which the next watch continues
	 */
	record ChangesReceived(List<StateChange> changes, long revision) implements StateFollowerInput {

		public ChangesReceived {
			changes = List.copyOf(changes);
		}

	}

	/** The store has dropped the history from which the watch was to continue. */
	record HistoryDropped() implements StateFollowerInput {
	}

	/**
	 * A call to the store failed or timed out.
	 *
	 * @param reason the reason, for the log
	 */
	record CallFailed(String reason) implements StateFollowerInput {
	}

	/**
	 * A peer reported the revision of the published state that it knows.
	 *
	 * @param revision the revision
	 * @param age the time in milliseconds since the store confirmed it
	 * @param steadyFor the time in milliseconds since the last outage of the store
	 */
	record PeerRevisionReceived(long revision, long age, long steadyFor) implements StateFollowerInput {
	}

}
