package org.wigeonmast.proxy.internal;

import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;

/**
 * Memory that all requests of a proxy share for one purpose.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariant: the reserved bytes exceed
 * the limit only after the limit was lowered.
 */
final class MemoryBudget {

	private final LongSupplier limit;

	private final Counter reserved;

	/**
	 * Creates a budget of which nothing is reserved.
	 * @param limit supplies the limit in bytes
	 * @param reserved the metric that shows the reserved bytes
	 */
	MemoryBudget(LongSupplier limit, Counter reserved) {
		this.limit = limit;
		this.reserved = reserved;
	}

	/**
	 * Reserves memory.
	 * @param bytes the number of bytes
	 * @return whether the limit allowed it
	 */
	boolean tryReserve(long bytes) {
		if (this.reserved.getCount() + bytes > this.limit.getAsLong()) {
			return false;
		}
		this.reserved.inc(bytes);
		return true;
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the number of bytes
	 */
	void release(long bytes) {
		this.reserved.dec(bytes);
	}

}
