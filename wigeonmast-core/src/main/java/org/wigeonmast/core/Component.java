package org.wigeonmast.core;

import java.util.List;

/**
 * Deterministic state machine without I/O, driven by time and typed messages.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: the same messages at the
 * same times produce the same effects, and the times passed in never decrease.
 *
 * @param <M> the type of the messages that it handles
 * @param <E> the type of the effects that it returns, which the calling code executes in
 * order
 */
public interface Component<M, E> {

	/** Value of {@link #nextTick()} when no timer is pending. */
	long NO_TIMER = Long.MAX_VALUE;

	/**
	 * Handles one message.
	 * @param now the current monotonic time in milliseconds
	 * @param message the message
	 * @return the effects, in order
	 */
	List<E> handle(long now, M message);

	/**
	 * Handles all timers that are due.
	 * @param now the current monotonic time in milliseconds
	 * @return the effects, in order
	 */
	List<E> tick(long now);

	/**
	 * Returns the time at which {@link #tick(long)} is due next.
	 * @return the monotonic time in milliseconds, or {@link #NO_TIMER}
	 */
	long nextTick();

}
