package org.wigeonmast.core;

import java.util.List;

/**
 * Decision logic without I/O, driven by time and typed messages.
 * <p>
 * Thread safety: none; one thread owns an instance. Invariants: the same messages at the
 * same times give the same effects, and the given times never decrease.
 *
 * @param <M> the messages that it accepts
 * @param <E> the effects that it returns, for its caller to carry out in order
 */
public interface Component<M, E> {

	/** Value of {@link #nextTick()} when no timer is pending. */
	long NO_TIMER = Long.MAX_VALUE;

	/**
	 * Handles one message.
	 * @param now the monotonic time in milliseconds
	 * @param message the message
	 * @return the effects, in order
	 */
	List<E> handle(long now, M message);

	/**
	 * Handles all timers that are due.
	 * @param now the monotonic time in milliseconds
	 * @return the effects, in order
	 */
	List<E> tick(long now);

	/**
	 * Returns when {@link #tick(long)} is due next.
	 * @return the monotonic time in milliseconds, or {@link #NO_TIMER}
	 */
	long nextTick();

}
