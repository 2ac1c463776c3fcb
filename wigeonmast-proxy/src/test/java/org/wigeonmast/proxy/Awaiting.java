package org.wigeonmast.proxy;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Bounded waits of the tests.
 * <p>
 * Thread safety: stateless.
 */
final class Awaiting {

	/** The time after which a wait fails. */
	static final int SECONDS = 20;

	private Awaiting() {
	}

	static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
		T next = queue.poll(SECONDS, TimeUnit.SECONDS);
		if (next == null) {
			throw new AssertionError("Nothing arrived within " + SECONDS + " s");
		}
		return next;
	}

}
