package org.wigeonmast.bench.fleet;

/**
 * Counts of messages, bytes and processor time over a fleet.
 * <p>
 * Thread safety: none.
 */
final class Traffic {

	/**
	 * Bytes that TCP and IP headers, the envelope of the link and its authentication add
	 * to a message, assuming one segment for each.
	 */
	static final int OVERHEAD = 80;

	private long messages;

	private long membershipBytes;

	private long manifestBytes;

	private long remoteBytes;

	private long processorNanoseconds;

	void count(boolean membership, int bytes, boolean remote) {
		this.messages++;
		if (membership) {
			this.membershipBytes += bytes + OVERHEAD;
		}
		else {
			this.manifestBytes += bytes + OVERHEAD;
		}
		if (remote) {
			this.remoteBytes += bytes + OVERHEAD;
		}
	}

	void addProcessorTime(long nanoseconds) {
		this.processorNanoseconds += nanoseconds;
	}

	void reset() {
		this.messages = 0;
		this.membershipBytes = 0;
		this.manifestBytes = 0;
		this.remoteBytes = 0;
		this.processorNanoseconds = 0;
	}

	long messages() {
		return this.messages;
	}

	long membershipBytes() {
		return this.membershipBytes;
	}

	long manifestBytes() {
		return this.manifestBytes;
	}

	long remoteBytes() {
		return this.remoteBytes;
	}

	long processorNanoseconds() {
		return this.processorNanoseconds;
	}

}
