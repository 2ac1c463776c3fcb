package org.wigeonmast.balance.follow;

import java.util.List;

import org.wigeonmast.balance.BalanceEvent;

/**
 * An effect that the {@link StateFollower} asks its caller to carry out.
 * <p>
 * Thread safety: immutable. Invariant: {@link ReadState} and {@link Watch} replace a call
 * that has not ended; its result is not given to the follower any more.
 */
public sealed interface FollowEffect {

	/** Reads the state as a whole. */
	record ReadState() implements FollowEffect {
	}

	/**
	 * Waits for changes.
	 *
	 * @param after the revision after which changes are wanted
	 */
	record Watch(long after) implements FollowEffect {
	}

	/**
	 * Puts a change in force.
	 *
	 * @param change the change
	 */
	record Apply(Change change) implements FollowEffect {
	}

	/** The state is known as a whole for the first time. */
	record Complete() implements FollowEffect {
	}

	/**
	 * Logs an event.
	 *
	 * @param event the event
	 * @param parameters the values for the event's text
	 */
	record Logged(BalanceEvent event, List<Object> parameters) implements FollowEffect {
	}

}
