package org.wigeonmast.daemon.balanced;

import java.util.function.Consumer;

import org.wigeonmast.balance.follow.StateFollowerInput;

/**
 * Read access to the state that operators and backend servers publish.
 * <p>
 * Thread safety: implementations are usable from any thread and call the consumer on any
 * thread, once for each call. Invariant: a new call cancels a pending one, whose consumer
 * is then not called.
 */
public interface PublishedState extends AutoCloseable {

	/**
	 * Reads the complete state.
	 * @param result receives {@link StateFollowerInput.StateRead} or
	 * {@link StateFollowerInput.CallFailed}
	 */
	void read(Consumer<StateFollowerInput> result);

	/**
	 * Waits for changes.
	 * @param after the last known revision; later changes are returned
	 * @param result receives {@link StateFollowerInput.ChangesReceived},
	 * {@link StateFollowerInput.HistoryDropped} or {@link StateFollowerInput.CallFailed}
	 */
	void watch(long after, Consumer<StateFollowerInput> result);

	@Override
	void close();

}
