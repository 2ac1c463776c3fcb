package org.wigeonmast.proxy;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Waits with a time limit for tests.
 * <p>
 * Thread safety: stateless.
 */
final class Awaiting {

	/** Time after which a wait fails, in seconds. */
	static final int TIMEOUT_SECONDS = 20;

	private Awaiting() {
	}

	static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
		T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		if (next == null) {
			throw new AssertionError("Nothing arrived within " + TIMEOUT_SECONDS + " s");
		}
		return next;
	}

}
