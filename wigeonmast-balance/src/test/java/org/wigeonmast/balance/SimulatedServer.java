package org.wigeonmast.balance;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The slots and the queue of a simulated backend server.
 * <p>
 * Thread safety: none. Invariant: no request waits while a slot is free.
 */
final class SimulatedServer {

	private final int slots;

	private final int queueLength;

	private final Deque<Runnable> queue = new ArrayDeque<>();

	private int busy;

	SimulatedServer(int slots, int queueLength) {
		this.slots = slots;
		this.queueLength = queueLength;
	}

	/**
	 * Runs a request at once or when a slot is free.
	 * @param work starts the request
	 * @return whether there was room for it
	 */
	boolean accept(Runnable work) {
		if (this.busy < this.slots) {
			this.busy++;
			work.run();
			return true;
		}
		return this.queue.size() < this.queueLength && this.queue.add(work);
	}

	/** Frees the slot of a request, which the next one in the queue takes. */
	void finish() {
		Runnable next = this.queue.poll();
		if (next != null) {
			next.run();
		}
		else {
			this.busy--;
		}
	}

}
