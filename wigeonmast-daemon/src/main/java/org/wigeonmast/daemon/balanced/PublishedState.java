package org.wigeonmast.daemon.balanced;

import java.util.function.Consumer;

import org.wigeonmast.balance.follow.StateFollowerInput;

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
	 * @param result takes {@link StateFollowerInput.StateRead} or
	 * {@link StateFollowerInput.CallFailed}
	 */
	void read(Consumer<StateFollowerInput> result);

	/**
	 * Waits for changes.
	 * @param after the revision after which changes are wanted
	 * @param result takes {@link StateFollowerInput.ChangesReceived},
	 * {@link StateFollowerInput.HistoryDropped} or {@link StateFollowerInput.CallFailed}
	 */
	void watch(long after, Consumer<StateFollowerInput> result);

	@Override
	void close();

}
