package org.wigeonmast.balance.follow;

import java.util.List;

import org.wigeonmast.balance.BalanceEvent;

/**
 * An effect that the {@link StateFollower} asks its caller to carry out.
 * <p>
 * Thread safety: immutable. Invariant: {@link ReadState} and {@link Watch} cancel a call
 * to the store that is in progress; its result is not passed to the follower.
 */
public sealed interface StateFollowerEffect {

	/** Reads the whole state from the store. */
	record ReadState() implements StateFollowerEffect {
	}

	/**
	 * Waits for changes in the store.
	 *
	 * @param after the last revision that is known; later changes are requested
	 */
	record Watch(long after) implements StateFollowerEffect {
	}

	/**
	 * Applies a change to the daemon.
	 *
	 * @param change the change
	 */
	record Apply(StateChange change) implements StateFollowerEffect {
	}

	/** Reports that the whole state was read for the first time. */
	record StateComplete() implements StateFollowerEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(BalanceEvent event, List<Object> parameters) implements StateFollowerEffect {
	}

}
