package org.wigeonmast.daemon.balanced;

import java.util.function.Consumer;

import org.wigeonmast.balance.follow.FollowInput;

/**
 * State that operators and backend servers publish and that daemons can only read.
 * <p>
 * Thread safety: implementations are usable from any thread and call the consumer on any
 * thread, once for each call. Invariant: a call replaces one that has not ended, whose
 * consumer is not called any more.
 */
public interface PublishedState extends AutoCloseable {

	/**
	 * Reads the state as a whole.
	 * @param result takes {@link FollowInput.Listed} or {@link FollowInput.Failed}
	 */
	void read(Consumer<FollowInput> result);

	/**
	 * Waits for changes.
	 * @param after the revision after which changes are wanted
	 * @param result takes {@link FollowInput.Changed}, {@link FollowInput.HistoryDropped}
	 * or {@link FollowInput.Failed}
	 */
	void watch(long after, Consumer<FollowInput> result);

	@Override
	void close();

}
