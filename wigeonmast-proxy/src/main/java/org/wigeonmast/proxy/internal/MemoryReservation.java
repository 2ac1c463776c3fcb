package org.wigeonmast.proxy.internal;

/**
 * The part of a {@link MemoryBudget} that one request uses.
 * <p>
 * Thread safety: none; the traffic thread owns it. Invariant: after {@link #release()}
 * nothing is reserved until {@link #tryReserve(int)} is called again.
 */
final class MemoryReservation {

	private final MemoryBudget budget;

	private long bytes;

	MemoryReservation(MemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Reserves more memory.
	 * @param moreBytes the number of bytes
	 * @return whether the budget allowed it
	 */
	boolean tryReserve(int moreBytes) {
		boolean reserved = this.budget.tryReserve(moreBytes);
		if (reserved) {
			this.bytes += moreBytes;
		}
		return reserved;
	}

	/** Releases all reserved memory. */
	void release() {
		this.budget.release(this.bytes);
		this.bytes = 0;
	}

	/**
	 * Returns how much is reserved.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

}
